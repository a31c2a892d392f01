//! Log points of a primary that one instance tells another.
//!
//! The load: dozens of instances, each of which sends a primary less than one statement a second, while its routes accept
//! data of one to two seconds. An instance alone then often has no sample of the primary's log point that is young enough,
//! and sent such reads to the primary although replicas could serve them. The holder of the primary's connections sees all
//! of its answers, so it always has samples, and the others request them.
//!
//! Clocks are not compared: a sample travels as its age when the response was made, and the requester counts that age
//! back from the time at which it sent the request. The sample then looks older than it is, never younger.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use wasabiyard_model::{LogPoint, Time};
use wasabiyard_session::PositionSample;

/// Interval between the samples of a response. A replica serves a read at an older point sooner, and a newer one stays
/// usable for longer.
const SAMPLE_SPACING: Duration = Duration::from_millis(200);
/// Most samples in a response.
const MAX_SAMPLES: usize = 16;

/// A sample of a primary's log point in a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SampledPosition {
    /// Age of the sample when the message was made, in microseconds.
    #[serde(rename = "a")]
    pub age_micros: u64,
    /// The log point.
    #[serde(rename = "p")]
    pub point: LogPoint,
}

/// The samples for a response made at `now`, oldest first, from samples in the same order.
pub fn select_positions<'a, I>(samples: I, now: Time) -> Vec<SampledPosition>
where
    I: DoubleEndedIterator<Item = &'a PositionSample>,
{
    let mut selected: Vec<&PositionSample> = Vec::new();
    for sample in samples.rev() {
        let is_due = selected
            .last()
            .is_none_or(|next| next.requested_at.saturating_since(sample.requested_at) >= SAMPLE_SPACING);
        if is_due {
            selected.push(sample);
        }
    }
    selected.truncate(MAX_SAMPLES);
    let encode = |sample: &&PositionSample| SampledPosition {
        age_micros: now.saturating_since(sample.requested_at).as_micros() as u64,
        point: sample.point,
    };
    selected.iter().rev().map(encode).collect()
}

/// A received sample on the clock of this instance, which sent the request at `sent_at`. `None` if it is older than the
/// clock.
pub fn received_position(position: SampledPosition, sent_at: Time) -> Option<PositionSample> {
    let requested_at = sent_at.as_micros().checked_sub(position.age_micros)?;
    Some(PositionSample {
        requested_at: Time::from_micros(requested_at),
        point: position.point,
    })
}
