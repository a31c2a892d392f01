//! Merges the events of many processes.

use crate::Record;

/// Merges records into an order where each event comes after every event that could have caused it.
///
/// Concurrent events are ordered by their timestamps, which follow the wall clocks. Ties are broken by instance and
/// sequence number, so the order does not depend on the order of the sources. A record that occurs in several sources,
/// because the page of one process was read twice, appears once.
pub fn merge(sources: impl IntoIterator<Item = Vec<Record>>) -> Vec<Record> {
    let mut records: Vec<Record> = sources.into_iter().flatten().collect();
    records.sort_by(|a, b| (a.stamp, &a.instance, a.number).cmp(&(b.stamp, &b.instance, b.number)));
    // Two copies of a refusal may differ in their counts, since a process adds to the count of a recent record. Their
    // timestamp, instance and number are the same.
    records.dedup_by(|a, b| (a.stamp, &a.instance, a.number) == (b.stamp, &b.instance, b.number));
    records
}
