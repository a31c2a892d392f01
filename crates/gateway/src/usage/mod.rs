//! Usage reports: how many operations of each organisation began to run at backend servers in each window of true time.
//!
//! Each instance counts ([`UsageCounter`]) and sends its counts to the holder of the failover lease ([`UsageSender`]). The holder
//! collects them ([`UsageCollector`]) and reports each window once ([`UsageReporter`]). Nothing here does input or output, and the
//! present time is an argument.
//!
//! Replaced holders, frozen processes, lost responses and clocks that jump must not lead to two different reports for one window.

mod clock_agreement;
mod collector;
mod counter;
mod fleet_clock;
mod message;
mod operation_count;
mod organisation_counts;
mod report_counters;
mod reporter;
mod sender;
mod settings;
mod stored_counts;
mod unix_time;
mod window_id;

pub use clock_agreement::ClockAgreement;
pub use collector::UsageCollector;
pub use counter::{Period, UsageCounter};
pub use fleet_clock::{FleetClock, FleetTime, SharedFleetClock};
pub use message::{UsageMessage, UsageReceipt, UsageStatus, WindowCounts};
pub use operation_count::OperationCount;
pub use organisation_counts::{OrganisationCounts, add_counts};
pub use report_counters::{ReportCounters, ReportEvent};
pub use reporter::{Collected, ReportStep, UsageRecord, UsageReporter, WriteOutcome};
pub use sender::UsageSender;
pub use settings::UsageSettings;
pub use stored_counts::StoredCounts;
pub use unix_time::UnixTime;
pub use window_id::WindowId;

/// Number of ended windows that are kept until their report is recorded, which bounds the memory in an outage of the store or of
/// the service that takes the reports.
pub const MAX_KEPT_WINDOWS: u64 = 60;
