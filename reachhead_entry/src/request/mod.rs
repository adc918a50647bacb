//! What lives as long as a request: from its head to the last byte of its answer.

mod body;
mod dispatch;
mod head;
mod keyed;
pub mod reply;
mod send;

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{
    Method, Request, Response,
    body::{Body, Incoming},
    http::request::Parts,
};
use reachhead_path::fair::QueueRequest;
use reachhead_types::{
    boot_instant::BootInstant,
    error::{DEADLINE_HEADER, ErrorKind, KEY_HEADER},
    fleet::IdempotencyMode,
    id::IdempotencyKey,
};
use tokio::time;

use crate::{
    connection::watch::Watch, process::core::Core, request::body::ReplyBody, version::Route,
};

/// A request that has arrived whole.
pub struct Arrived {
    /// Method, path and header fields.
    pub head: Parts,
    /// The body.
    pub body: Bytes,
    /// Its route; a later version does not change it.
    pub route: Rc<Route>,
    /// When the caller gives up.
    pub deadline: BootInstant,
}

impl Arrived {
    /// Returns what the fair queue needs to know.
    pub fn ask(&self) -> QueueRequest {
        QueueRequest {
            group: self.route.row.group.clone(),
            class: self.route.row.class,
            deadline: self.deadline,
        }
    }

    /// Tells whether HTTP lets the request be sent again after it may have run.
    pub fn is_repeatable(&self) -> bool {
        matches!(
            self.head.method,
            Method::GET | Method::HEAD | Method::OPTIONS | Method::PUT | Method::DELETE
        )
    }
}

/// Answers one request.
pub async fn handle(
    core: Rc<Core>,
    request: Request<Incoming>,
    watch: &Watch,
) -> Response<ReplyBody> {
    let started = BootInstant::now();
    // A length of `None` is that of a body in chunks: where it ends is the library's secret.
    let length = request.body().size_hint().exact();
    let arrived = match watch.is_ambiguous() {
        true => Err(ErrorKind::Malformed),
        false => arrive(&core, request, started).await,
    };
    // A body that was not read whole is still to come, and is no head.
    let is_read = arrived.is_ok() || length == Some(0);
    let is_clear = watch.next(length) && is_read;
    if !is_read {
        watch.note_unread();
    }
    let mut response = match arrived {
        Ok(arrived) => {
            let route = Rc::clone(&arrived.route);
            let response = answer(&core, arrived).await;
            route.metrics.latency.observe(started.elapsed().as_secs_f64());
            response
        }
        Err(kind) => reply::error(&core, kind),
    };
    if core.is_stopping() || !is_clear {
        reply::close(&mut response);
    }
    response
}

async fn answer(core: &Rc<Core>, arrived: Arrived) -> Response<ReplyBody> {
    let key = match key(&arrived) {
        Ok(key) => key,
        Err(kind) => return reply::error(core, kind),
    };
    match key {
        Some(key) => keyed::run(core, arrived, key).await,
        None => match dispatch::run(core, &arrived, None).await {
            Ok(answer) => reply::answer(&arrived.route, answer),
            Err(error) => reply::error(core, error.kind()),
        },
    }
}

/// Returns the key under which the request runs at most once, if it does.
fn key(arrived: &Arrived) -> Result<Option<IdempotencyKey>, ErrorKind> {
    let mut values = arrived.head.headers.get_all(KEY_HEADER).iter();
    let value = match (arrived.route.row.key, values.next()) {
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

/// Reads the request whole and finds its route.
async fn arrive(
    core: &Core,
    request: Request<Incoming>,
    started: BootInstant,
) -> Result<Arrived, ErrorKind> {
    let (head, body) = request.into_parts();
    if !core.is_fresh() {
        return Err(ErrorKind::NotReady);
    }
    let table = core.table();
    let route = table.find(head.uri.path()).ok_or(ErrorKind::NoRoute)?;
    let route = Rc::clone(route);
    let deadline = started + deadline(&head, &route)?;
    let body = read_body(core, body).await?;
    Ok(Arrived { head, body, route, deadline })
}

/// Returns the time that the request has: the route's deadline, or the caller's if it is shorter.
fn deadline(head: &Parts, route: &Route) -> Result<Duration, ErrorKind> {
    let limit = route.deadline.duration();
    let Some(value) = head.headers.get(DEADLINE_HEADER) else {
        return Ok(limit);
    };
    let text = value.to_str().map_err(|_| ErrorKind::Malformed)?;
    let millis = text.parse().map_err(|_| ErrorKind::Malformed)?;
    Ok(limit.min(Duration::from_millis(millis)))
}

async fn read_body(core: &Core, body: Incoming) -> Result<Bytes, ErrorKind> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let callers = &core.settings.callers;
    if body.size_hint().lower() > callers.body.0 {
        return Err(ErrorKind::BodyTooLarge);
    }
    let limited = Limited::new(body, callers.body.0 as usize);
    let limit = Duration::from_millis(callers.body_time.get());
    match time::timeout(limit, limited.collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(ErrorKind::BodyTooLarge),
        Ok(Err(_)) => Err(ErrorKind::Malformed),
        Err(_) => Err(ErrorKind::TooSlow),
    }
}
