//! Builds answers to callers; each says what became of the request.

use std::rc::Rc;

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use hyper::{
    Response, StatusCode,
    header::{self, HeaderName, HeaderValue},
    http::response::Parts,
};
use reachhead_types::{
    answer::{KeptAnswer, KeptField},
    error::{ErrorAnswer, ErrorKind, KIND_HEADER, OUTCOME_HEADER, Outcome},
};

use crate::{
    process::proxy::Core,
    request::{
        headers,
        response_body::{Live, ReplyBody},
        send::{SentAnswer, SentBody},
    },
    route_table::Route,
};

/// The field that marks an answer which was kept from an earlier request with the same key.
const REPLAYED_HEADER: &str = "reachhead-replayed";

/// Returns the answer that belongs to `kind`.
pub fn error(core: &Core, kind: ErrorKind) -> Response<ReplyBody> {
    core.metrics.error(kind);
    let answer = kind.answer();
    let body = format!("{}: {}\n", kind, answer.outcome);
    let mut response = Response::new(ReplyBody::whole(Bytes::from(body)));
    *response.status_mut() =
        StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(answer.outcome.as_str()));
    headers.insert(KIND_HEADER, HeaderValue::from_static(kind.as_str()));
    if let Some(seconds) = answer.retry_after {
        headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    // What is left of a body that was not read can't be told from the next request.
    if matches!(kind, ErrorKind::BodyTooLarge | ErrorKind::TooSlow | ErrorKind::Malformed) {
        close(&mut response);
    }
    response
}

/// Returns the answer to a head that did not arrive in time, for a connection that the library has
/// given up.
pub fn too_slow() -> String {
    let kind = ErrorKind::TooSlow;
    let ErrorAnswer { status, outcome, .. } = kind.answer();
    format!(
        "HTTP/1.1 {status} Request Timeout\r\n{OUTCOME_HEADER}: {outcome}\r\n\
         {KIND_HEADER}: {kind}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
    )
}

/// Returns a minion's answer as the caller gets it.
pub fn answer(route: &Rc<Route>, answer: SentAnswer) -> Response<ReplyBody> {
    route.metrics.ran.inc();
    let SentAnswer { mut head, body } = answer;
    strip(&mut head);
    let outcome = HeaderValue::from_static(Outcome::Ran.as_str());
    head.headers.insert(OUTCOME_HEADER, outcome);
    let body = match body {
        SentBody::Whole(body) => ReplyBody::whole(body),
        SentBody::Streaming { first, rest, hold } => {
            ReplyBody::Live(Box::new(Live::new(first, rest, hold)))
        }
    };
    Response::from_parts(head, body)
}

fn strip(head: &mut Parts) {
    headers::strip(&mut head.headers);
    // These are this system's own words; a minion has no say in them.
    head.headers.remove(KIND_HEADER);
    head.headers.remove(REPLAYED_HEADER);
}

/// Returns an answer in the form that is kept for its key.
pub fn keep(head: &Parts, body: &Bytes) -> KeptAnswer {
    let mut head = head.clone();
    strip(&mut head);
    let fields = head.headers.iter().filter_map(|(name, value)| {
        let value = value.to_str().ok()?.to_owned();
        Some(KeptField { name: name.to_string(), value })
    });
    KeptAnswer {
        status: head.status.as_u16(),
        fields: fields.collect(),
        body: STANDARD.encode(body),
    }
}

/// Returns a kept answer, marked as a replay.
pub fn replay(core: &Core, kept: &KeptAnswer) -> Response<ReplyBody> {
    let (Ok(status), Ok(body)) = (StatusCode::from_u16(kept.status), STANDARD.decode(&kept.body))
    else {
        return error(core, ErrorKind::AnswerNotKept);
    };
    core.metrics.replays.inc();
    let mut response = Response::new(ReplyBody::whole(Bytes::from(body)));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    for KeptField { name, value } in &kept.fields {
        if let (Ok(name), Ok(value)) = (name.parse::<HeaderName>(), value.parse()) {
            headers.append(name, value);
        }
    }
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(Outcome::Ran.as_str()));
    headers.insert(REPLAYED_HEADER, HeaderValue::from_static("1"));
    response
}

/// Closes the connection after this answer.
pub fn close(response: &mut Response<ReplyBody>) {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
}
