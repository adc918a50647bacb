//! A host reads the list from the store and from its peers, and an answer may be late.

use reachhead_link::message::MemberList;
use reachhead_types::{
    boot_instant::BootInstant,
    id::{HostId, Incarnation},
    member::Member,
    size::Revision,
};

use super::MemberTable;

fn member(host: &str) -> Member {
    Member {
        host: host.parse().unwrap(),
        zone: "z".parse().unwrap(),
        incarnation: Incarnation(1),
        counter: 1,
        control: "127.0.0.1:1".parse().unwrap(),
        entry: "127.0.0.1:2".parse().unwrap(),
    }
}

fn hosts(table: &MemberTable) -> Vec<&HostId> {
    table.members().iter().map(|member| &member.host).collect()
}

#[test]
fn late_read_of_the_store_does_not_replace_a_newer_list_of_a_peer() {
    let mut table = MemberTable::new();
    let now = BootInstant::now();
    table.process_rows(vec![member("one"), member("two")], Revision(5), now);
    assert!(table.adopt(MemberList { members: vec![member("one")], revision: Revision(9) }));
    let changed = table.process_rows(vec![member("one"), member("two")], Revision(7), now);
    assert!(!changed, "two has left at a later revision");
    assert_eq!(hosts(&table), ["one".parse::<HostId>().unwrap()].iter().collect::<Vec<_>>());
    assert!(table.process_rows(vec![member("one"), member("three")], Revision(9), now));
    assert_eq!(table.members().len(), 2);
}
