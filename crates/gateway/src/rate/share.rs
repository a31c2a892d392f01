//! The part of an organisation's rate that one instance may spend.
//!
//! Each instance takes the part that its own demand has in the demand of all registered instances. An instance that
//! falls silent keeps the part that it had when it was last heard, because it may still run and spend it.

use wasabiyard_model::Incarnation;

/// Part of an equal share that an instance has without any demand, so that its first requests need not wait.
const IDLE_PART: f64 = 0.05;

/// Operations a second that callers ask for.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd)]
pub struct Demand(pub f64);

/// What is known of another instance's demand.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PeerDemand {
    /// It was heard under this incarnation.
    Heard {
        /// The process that was heard.
        incarnation: Incarnation,
        /// Its demand.
        demand: Demand,
    },
    /// It is registered and was not heard.
    Unheard,
}

/// What a share is computed from.
#[derive(Debug, Clone, Copy)]
pub struct ShareInputs<'a> {
    /// Demand at this instance.
    pub own: Demand,
    /// The other registered instances.
    pub peers: &'a [PeerDemand],
    /// Operations a second of the whole fleet.
    pub rate: f64,
}

/// The part, between 0 and 1. The parts of instances that know the same sum to at most 1.
pub fn share_of(inputs: ShareInputs<'_>) -> f64 {
    let fleet = inputs.peers.len() as f64 + 1.0;
    let idle = inputs.rate.max(1.0) * IDLE_PART / fleet;
    let unheard = inputs
        .peers
        .iter()
        .filter(|p| matches!(p, PeerDemand::Unheard))
        .count() as f64;
    let heard: f64 = inputs
        .peers
        .iter()
        .filter_map(|p| match p {
            PeerDemand::Heard { demand, .. } => Some(demand.0 + idle),
            PeerDemand::Unheard => None,
        })
        .sum();
    let own = inputs.own.0 + idle;
    // An instance that was never heard may take an equal part.
    own / (own + heard) * (1.0 - unheard / fleet)
}
