//! Baseline of the overhead measurement: a forwarder on the same HTTP library that makes no decisions.

use std::{convert::Infallible, io, net::SocketAddr, rc::Rc};

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, combinators::BoxBody};
use hyper::{
    Request, Response, StatusCode, body::Incoming, client::conn::http1 as client,
    server::conn::http1 as server, service::service_fn,
};
use hyper_util::rt::TokioIo;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Mutex,
    task::{LocalSet, spawn_local},
};

type Sender = client::SendRequest<Incoming>;

/// Forwards each connection on `address` to the next of `targets`, round-robin, until the process ends.
pub async fn run(address: SocketAddr, targets: Vec<SocketAddr>) -> io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    LocalSet::new()
        .run_until(async move {
            for target in targets.iter().cycle() {
                let (stream, _) = listener.accept().await?;
                spawn_local(serve(stream, *target));
            }
            Ok(())
        })
        .await
}

async fn serve(stream: TcpStream, target: SocketAddr) {
    let Ok(sender) = connect(&stream, target).await else {
        return;
    };
    let sender = Rc::new(Mutex::new(sender));
    let service = service_fn(move |request| {
        let sender = Rc::clone(&sender);
        async move { Ok::<_, Infallible>(forward(&sender, request).await) }
    });
    let _ = server::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

async fn connect(stream: &TcpStream, target: SocketAddr) -> io::Result<Sender> {
    stream.set_nodelay(true)?;
    let upstream = TcpStream::connect(target).await?;
    upstream.set_nodelay(true)?;
    let (sender, connection) =
        client::handshake(TokioIo::new(upstream)).await.map_err(io::Error::other)?;
    spawn_local(connection);
    Ok(sender)
}

async fn forward(
    sender: &Mutex<Sender>,
    request: Request<Incoming>,
) -> Response<BoxBody<Bytes, hyper::Error>> {
    let mut sender = sender.lock().await;
    match sender.send_request(request).await {
        Ok(response) => response.map(BodyExt::boxed),
        Err(_) => {
            let body = Empty::new().map_err(|infallible| match infallible {}).boxed();
            let mut response = Response::new(body);
            *response.status_mut() = StatusCode::BAD_GATEWAY;
            response
        }
    }
}
