//! The control thread: it reads the store, registers this instance, and replaces primaries while this instance holds
//! the failover lease.

mod apply_reads;
mod control_loop;
mod failover;
mod failover_lease;
mod failover_lease_loop;
mod instance_registry;
mod leadership_task;
mod poll;
mod poll_health;
mod promotion;
mod reached_generation;
mod record_recovery;
mod record_writes;
mod records;
mod registration;
mod release_wait;
mod revision_proofs;
mod server_commands;
mod state;
mod step_error;
mod store_calls;
mod store_circuit_breaker;
mod store_generation;
mod store_reads;
mod stored_primaries;
mod successor;
mod successor_search;
mod usage_counts_in_store;
mod usage_task;
mod view_requests;

pub use control_loop::{
    ControlChannels, ControlEvent, ControlHandle, ControlSettings, ControlThread, OutboundMessage,
};
pub use failover::{
    FailoverReason, ReachabilityReports, ServerContacts, failover_reason, heartbeat_period,
    only_passes_log_on,
};
pub use failover_lease::{FailoverLease, FailoverLeaseRecord, LeaseTerms};
pub use instance_registry::{InstanceRegistry, VIEW_LEASE_MARGIN};
pub use reached_generation::ReachedGeneration;
pub use revision_proofs::{RevisionProof, RevisionProofs};
pub use store_calls::{StoreCallKind, StoreCalls};
pub use store_circuit_breaker::StoreCircuitBreaker;
pub use store_generation::StoreGeneration;
pub use stored_primaries::{StoredPrimaries, StoredRecord};
pub use successor::{
    AcknowledgedCommits, CandidateStatus, CandidateSurvey, OldPrimaryStep, old_primary_step,
};
pub use usage_task::UsageContext;
