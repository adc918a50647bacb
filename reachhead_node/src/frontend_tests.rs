//! Calls that wait while the configuration changes.

use std::sync::Arc;

use bytes::Bytes;
use hyper::{HeaderMap, Method, StatusCode, header, header::HeaderValue};
use reachhead_ops::http::{BufferedRequest, BufferedResponse, Handler};
use reachhead_platform::front::FrontHandler;
use reachhead_types::size::{Millis, Revision};
use tokio::sync::mpsc::UnboundedReceiver;

use super::NodeFrontend;
use crate::{
    node::Node,
    owner::{Input, OwnerHandle},
    tests::idle_node::{self, apply_config},
};

/// Returns a process that owns the pool of the route `/a/`, and the inputs of the owner.
fn owner() -> (Arc<Node>, UnboundedReceiver<Input>) {
    let node = idle_node::new("127.0.0.1:1");
    apply_config(&node, 3, &["a"], Millis(0));
    let (handle, inputs) = OwnerHandle::new(Revision(7));
    node.owned().insert("a".parse().unwrap(), handle);
    (node, inputs)
}

async fn get(node: &Arc<Node>, path: &str) -> BufferedResponse {
    let mut headers = HeaderMap::new();
    headers.insert(header::HOST, HeaderValue::from_static("site.example"));
    let request = BufferedRequest {
        method: Method::GET,
        path: path.to_owned(),
        query: String::new(),
        headers,
        body: Bytes::new(),
    };
    FrontHandler::new(Arc::new(NodeFrontend(Arc::clone(node)))).handle(request).await
}

/// Answers the next question for the number of waiting jobs, after `change`.
async fn answer_after(mut inputs: UnboundedReceiver<Input>, change: impl FnOnce()) {
    while let Some(input) = inputs.recv().await {
        if let Input::Waiting(_, reply) = input {
            change();
            reply.send(5).unwrap();
            return;
        }
    }
}

/// Guards against answers by an older version than that of an earlier call, which waits for a refresh
/// and gets the version that the refresh brings.
#[tokio::test]
async fn read_is_answered_by_the_configuration_in_force_when_it_ends() {
    let (node, inputs) = owner();
    let change = || apply_config(&node, 4, &["b"], Millis(0));
    let (response, ()) = tokio::join!(get(&node, "/a/"), answer_after(inputs, change));
    assert_eq!(response.status(), StatusCode::NOT_FOUND, "version 4 has no such route");
}

#[tokio::test]
async fn read_goes_on_under_a_newer_configuration_with_its_route() {
    let (node, inputs) = owner();
    let change = || apply_config(&node, 4, &["a", "b"], Millis(0));
    let (response, ()) = tokio::join!(get(&node, "/a/"), answer_after(inputs, change));
    assert_eq!(response.status(), StatusCode::OK);
}
