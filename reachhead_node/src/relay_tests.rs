//! A relayed table has no gaps, whatever the process followed itself in the meantime.

use reachhead_jobs::{
    clock::Tick,
    ports::{Change, FeedPage},
};
use reachhead_store::row::{Key, Row};
use reachhead_types::size::{ByteRate, Millis, Revision};
use serde_json::json;

use super::{Relay, TableRequest};

const TABLE: &str = "op";

fn page(rows: &[(&str, u64)], revision: u64) -> FeedPage {
    let change = |(key, revision): &(&str, u64)| {
        let row =
            Row { key: Key((*key).to_owned()), value: json!({}), revision: Revision(*revision) };
        Change { row, deleted: false }
    };
    FeedPage { changes: rows.iter().map(change).collect(), revision: Revision(revision) }
}

fn request(after: Option<u64>) -> TableRequest {
    TableRequest { table: TABLE.to_owned(), after: after.map(Revision), wait: Millis(0) }
}

#[test]
fn changes_that_were_followed_elsewhere_are_not_missing_for_readers() {
    let relay = Relay::new(ByteRate(1_000_000));
    relay.start_relaying(TABLE, page(&[("op//a", 3)], 5), Tick(10));
    relay.record_changes(TABLE, Revision(5), &page(&[("op//a", 7)], 7), Tick(20));
    let (newer, at) = relay.changes_after(&request(Some(5)), TABLE).unwrap();
    assert_eq!((newer, at), (Some(page(&[("op//a", 7)], 7)), Tick(20)));
    // Up to revision 15 this process read the table from another member.
    relay.record_changes(TABLE, Revision(15), &page(&[("op//b", 16)], 16), Tick(30));
    assert_eq!(relay.changes_after(&request(Some(7)), TABLE), None);
    // A table that was read before the last recorded change would have the same gap.
    relay.start_relaying(TABLE, page(&[("op//a", 12)], 14), Tick(40));
    assert_eq!(relay.changes_after(&request(None), TABLE), None);
    relay.start_relaying(TABLE, page(&[("op//a", 12), ("op//b", 16)], 17), Tick(50));
    assert!(relay.changes_after(&request(None), TABLE).is_some());
}

#[test]
fn rows_deleted_before_a_new_read_are_not_relayed() {
    let relay = Relay::new(ByteRate(1_000_000));
    relay.start_relaying(TABLE, page(&[("op//a", 3), ("op//b", 4)], 5), Tick(10));
    let read = page(&[("op//b", 4)], 30);
    relay.record_table(TABLE, &read, Tick(20));
    let (whole, at) = relay.changes_after(&request(None), TABLE).unwrap();
    assert_eq!((whole, at), (Some(read), Tick(20)));
    let (newer, _) = relay.changes_after(&request(Some(5)), TABLE).unwrap();
    assert_eq!(newer, None, "a reader from before has to read the whole table");
}
