//! A caller that checks that every answer is whole and its own.

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

/// Longest wait for one answer.
const ANSWER_TIME: Duration = Duration::from_secs(20);

/// Callers that send at the same time.
const CALLERS: usize = 6;

/// What is sent where.
#[derive(Debug)]
pub struct Plan {
    /// Entry hosts, taken in turn.
    pub entries: Vec<SocketAddr>,
    /// Paths, taken in turn; one that starts with '!' is posted with an idempotency key.
    pub paths: Vec<String>,
    /// Requests in all.
    pub count: usize,
    /// Pause of a caller between two requests.
    pub pause: Duration,
}

struct Served {
    count: usize,
    first_fault: Option<String>,
}

/// Sends the plan's requests and tells how many were answered whole.
pub async fn run(plan: Plan) -> io::Result<()> {
    let plan = Arc::new(plan);
    let callers = (0..CALLERS).map(|caller| tokio::spawn(call(Arc::clone(&plan), caller)));
    let served: Vec<Served> =
        future::join_all(callers).await.into_iter().filter_map(Result::ok).collect();
    let count: usize = served.iter().map(|served| served.count).sum();
    for fault in served.iter().filter_map(|served| served.first_fault.as_ref()) {
        eprintln!("{fault}");
    }
    println!("served {count} of {} requests", plan.count);
    match count == plan.count {
        true => Ok(()),
        false => Err(io::Error::other("not every answer was whole")),
    }
}

async fn call(plan: Arc<Plan>, caller: usize) -> Served {
    let mut served = Served { count: 0, first_fault: None };
    let mut sender = None;
    for number in (caller..plan.count).step_by(CALLERS) {
        time::sleep(plan.pause).await;
        let entry = plan.entries[number % plan.entries.len()];
        let path = &plan.paths[(number / plan.entries.len()) % plan.paths.len()];
        match time::timeout(ANSWER_TIME, exchange(&mut sender, entry, path, number)).await {
            Ok(Ok(())) => served.count += 1,
            Ok(Err(fault)) => {
                served.first_fault.get_or_insert(format!("{path} by {entry}: {fault}"));
            }
            Err(_) => {
                served.first_fault.get_or_insert(format!("{path} by {entry}: no answer"));
            }
        }
    }
    served
}

/// The connection that the next request may use, if it goes to the same entry host.
struct Kept {
    entry: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
}

async fn exchange(
    kept: &mut Option<Kept>,
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
    let answer = response.into_body().collect().await.map_err(|error| error.to_string())?;
    let answer = String::from_utf8_lossy(&answer.to_bytes()).into_owned();
    // The stand-in answers with the path and the body that it got.
    if !status.is_success() || !answer.ends_with(&format!("{path} {body}")) {
        return Err(format!("{status} {answer}"));
    }
    *kept = Some(Kept { entry, sender });
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
