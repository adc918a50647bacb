//! Which processes get a pool that this process hands over.

use std::sync::Arc;

use reachhead_jobs::record::MemberRecord;
use reachhead_types::{
    id::NodeName,
    size::{Revision, Strength},
};

use super::successors;
use crate::{node::Node, owner::OwnerHandle, tests::idle_node, view::MemberView};

/// Returns a process on a link of this bandwidth, in Mbit/s, that owns so many pools, and that knows
/// an equal member without any.
fn owner_of(pools: u64, bandwidth: f64) -> Arc<Node> {
    let node = idle_node::on_link("127.0.0.1:1", bandwidth);
    for number in 0..pools {
        let (handle, _) = OwnerHandle::new(Revision(number + 1));
        node.owned().insert(format!("p{number}").parse().unwrap(), handle);
    }
    let add_member = |name: &str, strength: Strength| {
        let record = MemberRecord { address: "127.0.0.1:2".parse().unwrap(), strength };
        let member = MemberView { record, revision: Revision(9) };
        node.view().members.insert(name.parse().unwrap(), member);
    };
    add_member("node-1", node.strength());
    add_member("node-2", node.strength());
    node
}

fn names(node: &Node) -> Vec<NodeName> {
    successors(node).into_iter().map(|successor| successor.node).collect()
}

/// Guards against pools that share a narrow link while the links of other processes are idle: one
/// process may take several before the others are members.
#[test]
fn one_of_two_pools_on_a_narrow_link_goes_to_an_idle_process() {
    let expected: NodeName = "node-2".parse().unwrap();
    assert_eq!(names(&owner_of(2, 2.0)), [expected]);
    assert!(names(&owner_of(1, 2.0)).is_empty());
}

#[test]
fn two_pools_on_a_wide_link_stay_together() {
    assert!(names(&owner_of(2, 1000.0)).is_empty());
}
