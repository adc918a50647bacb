//! Callers that verify every response: successful, complete and belonging to its own request.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::future;
use http_body_util::{BodyExt, Full};
use hyper::{
    Method, Request,
    client::conn::http1::{self, SendRequest},
    header,
};
use hyper_util::rt::TokioIo;
use reachhead_types::error::KEY_HEADER;
use tokio::{net::TcpStream, time};

/// Timeout of one request, connecting included.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);

/// Number of concurrent callers.
const CALLERS: usize = 6;

/// Requests to send and their targets.
#[derive(Debug)]
pub struct RequestPlan {
    /// Entry hosts, used round-robin.
    pub entries: Vec<SocketAddr>,
    /// Paths, used round-robin; a leading `!` selects POST instead of PUT.
    pub paths: Vec<String>,
    /// Total number of requests.
    pub count: usize,
    /// Delay of a caller before each request.
    pub pause: Duration,
}

/// Results of one caller.
struct CallerSummary {
    count: usize,
    first_error: Option<String>,
}

/// Sends the plan's requests and prints how many were served.
///
/// # Errors
///
/// If any request failed or received an unexpected response.
pub async fn run(plan: RequestPlan) -> io::Result<()> {
    let plan = Arc::new(plan);
    let callers = (0..CALLERS).map(|caller| tokio::spawn(run_caller(Arc::clone(&plan), caller)));
    let summaries: Vec<CallerSummary> =
        future::join_all(callers).await.into_iter().filter_map(Result::ok).collect();
    let count: usize = summaries.iter().map(|summary| summary.count).sum();
    for error in summaries.iter().filter_map(|summary| summary.first_error.as_ref()) {
        eprintln!("{error}");
    }
    println!("served {count} of {} requests", plan.count);
    match count == plan.count {
        true => Ok(()),
        false => Err(io::Error::other("some requests failed or received an unexpected response")),
    }
}

async fn run_caller(plan: Arc<RequestPlan>, caller: usize) -> CallerSummary {
    let mut summary = CallerSummary { count: 0, first_error: None };
    let mut sender = None;
    for number in (caller..plan.count).step_by(CALLERS) {
        time::sleep(plan.pause).await;
        let entry = plan.entries[number % plan.entries.len()];
        let path = &plan.paths[(number / plan.entries.len()) % plan.paths.len()];
        match time::timeout(RESPONSE_TIMEOUT, send_and_verify(&mut sender, entry, path, number))
            .await
        {
            Ok(Ok(())) => summary.count += 1,
            Ok(Err(error)) => {
                summary.first_error.get_or_insert(format!("{path} via {entry}: {error}"));
            }
            Err(_) => {
                summary.first_error.get_or_insert(format!(
                    "{path} via {entry}: no response within {RESPONSE_TIMEOUT:?}"
                ));
            }
        }
    }
    summary
}

/// Connection that the next request reuses if it goes to the same entry host.
struct KeptConnection {
    entry: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
}

/// Sends one request and checks that the response echoes its path and body.
async fn send_and_verify(
    kept: &mut Option<KeptConnection>,
    entry: SocketAddr,
    path: &str,
    number: usize,
) -> Result<(), String> {
    let mut sender = match kept.take() {
        Some(kept) if kept.entry == entry && !kept.sender.is_closed() => kept.sender,
        _ => connect(entry).await.map_err(|error| error.to_string())?,
    };
    let body = format!("request {number}");
    let (method, path) = match path.strip_prefix('!') {
        Some(path) => (Method::POST, path),
        None => (Method::PUT, path),
    };
    let request = Request::builder()
        .method(&method)
        .uri(path)
        .header(header::HOST, entry.to_string())
        .header(KEY_HEADER, format!("demo-{number}"))
        .body(Full::new(Bytes::from(body.clone())))
        .map_err(|error| error.to_string())?;
    sender.ready().await.map_err(|error| error.to_string())?;
    let response = sender.send_request(request).await.map_err(|error| error.to_string())?;
    let status = response.status();
    let received = response.into_body().collect().await.map_err(|error| error.to_string())?;
    let received = String::from_utf8_lossy(&received.to_bytes()).into_owned();
    // The stand-in minion ends its response with the path and body of the request.
    if !status.is_success() || !received.ends_with(&format!("{path} {body}")) {
        return Err(format!("{status} {received}"));
    }
    *kept = Some(KeptConnection { entry, sender });
    Ok(())
}

async fn connect(entry: SocketAddr) -> io::Result<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(entry).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
    tokio::spawn(connection);
    Ok(sender)
}
