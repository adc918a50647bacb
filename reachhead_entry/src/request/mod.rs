//! Handles a request, from its head to the last byte of the response.

mod dispatch;
mod headers;
mod idempotency;
pub mod response;
mod response_body;
mod send;

use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use hyper::{
    Method, Request, Response,
    body::{Body, Incoming},
    http::request::Parts,
};
use reachhead_ops::connections::{Account, read_body};
use reachhead_path::fair::QueueRequest;
use reachhead_types::{
    boot_instant::BootInstant,
    error::{DEADLINE_HEADER, ErrorKind, KEY_HEADER},
    fleet::IdempotencyMode,
    id::IdempotencyKey,
};

use crate::{
    connection::head_inspector::HeadInspector,
    process::proxy::Proxy,
    request::response_body::{ResponseBody, Work},
    route_table::Route,
};

/// A request whose head and body were received completely.
pub struct ReceivedRequest {
    /// Method, path and header fields.
    pub head: Parts,
    /// The body.
    pub body: Bytes,
    /// Its route; a later configuration version does not change it.
    pub route: Rc<Route>,
    /// When the caller's time limit ends.
    pub deadline: BootInstant,
}

impl ReceivedRequest {
    /// Returns the entry for the fair queue.
    pub fn queue_request(&self) -> QueueRequest {
        QueueRequest {
            group: self.route.row.group.clone(),
            class: self.route.row.class,
            deadline: self.deadline,
        }
    }

    /// Returns whether the HTTP method is idempotent, so that the request may run more than once.
    pub fn is_idempotent(&self) -> bool {
        matches!(
            self.head.method,
            Method::GET | Method::HEAD | Method::OPTIONS | Method::PUT | Method::DELETE
        )
    }
}

/// Handles one request and returns the response.
pub async fn handle(
    proxy: Rc<Proxy>,
    request: Request<Incoming>,
    inspector: &HeadInspector,
    account: Arc<Account>,
) -> Response<ResponseBody> {
    let started = BootInstant::now();
    // The length is `None` for a chunked body, whose end only Hyper knows.
    let length = request.body().size_hint().exact();
    let received = match inspector.is_ambiguous() {
        true => Err(ErrorKind::Malformed),
        false => receive(&proxy, request, started, &account).await,
    };
    // If the body was not read completely, its rest follows, not the head of the next request.
    let is_body_read = received.is_ok() || length == Some(0);
    let is_next_head_inspected = inspector.next(length) && is_body_read;
    if !is_body_read {
        inspector.mark_body_unread();
    }
    let mut response = match received {
        Ok(received) => {
            let route = Rc::clone(&received.route);
            let response = handle_received(&proxy, received).await;
            route.metrics.latency.observe(started.elapsed().as_secs_f64());
            response
        }
        Err(kind) => {
            account.record_refusal(kind);
            response::error(&proxy, kind)
        }
    };
    if proxy.is_stopping() || !is_next_head_inspected {
        response::close_connection(&mut response);
    }
    response.map(|body| body.with_work(Work::new(account)))
}

async fn handle_received(proxy: &Rc<Proxy>, received: ReceivedRequest) -> Response<ResponseBody> {
    let key = match idempotency_key(&received) {
        Ok(key) => key,
        Err(kind) => return response::error(proxy, kind),
    };
    match key {
        Some(key) => idempotency::run_at_most_once(proxy, received, key).await,
        None => match dispatch::run(proxy, &received, None).await {
            Ok(minion_response) => response::from_minion(&received.route, minion_response),
            Err(error) => response::error(proxy, error.kind()),
        },
    }
}

/// Returns the idempotency key of the request, if its route uses one.
fn idempotency_key(received: &ReceivedRequest) -> Result<Option<IdempotencyKey>, ErrorKind> {
    let mut values = received.head.headers.get_all(KEY_HEADER).iter();
    let value = match (received.route.row.key, values.next()) {
        (IdempotencyMode::Ignored, _) | (IdempotencyMode::Accepted, None) => return Ok(None),
        (IdempotencyMode::Required, None) => return Err(ErrorKind::KeyMissing),
        (_, Some(value)) => value,
    };
    if values.next().is_some() {
        return Err(ErrorKind::Malformed);
    }
    let text = value.to_str().map_err(|_| ErrorKind::Malformed)?;
    text.parse().map(Some).map_err(|_| ErrorKind::Malformed)
}

/// Finds the route of a request and reads the body.
async fn receive(
    proxy: &Proxy,
    request: Request<Incoming>,
    started: BootInstant,
    account: &Account,
) -> Result<ReceivedRequest, ErrorKind> {
    let (head, body) = request.into_parts();
    if !proxy.is_fresh() {
        return Err(ErrorKind::NotReady);
    }
    let routes = proxy.routes();
    let route = routes.find(head.uri.path()).ok_or(ErrorKind::NoRoute)?;
    let route = Rc::clone(route);
    let deadline = started + time_limit(&head, &route)?;
    account.begin_request(None);
    let body = read_body(account, body, proxy.settings.callers.body).await?;
    account.begin_work()?;
    Ok(ReceivedRequest { head, body, route, deadline })
}

/// Returns the time limit of the request: the one of the route, or the caller's if it is shorter.
fn time_limit(head: &Parts, route: &Route) -> Result<Duration, ErrorKind> {
    let limit = route.deadline.duration();
    let Some(value) = head.headers.get(DEADLINE_HEADER) else {
        return Ok(limit);
    };
    let text = value.to_str().map_err(|_| ErrorKind::Malformed)?;
    let millis = text.parse().map_err(|_| ErrorKind::Malformed)?;
    Ok(limit.min(Duration::from_millis(millis)))
}
