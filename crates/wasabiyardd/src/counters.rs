//! Process-wide counters. An addition is one atomic instruction; the admin server reads the values.

use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! counters {
    ($($(#[$doc:meta])* $variant:ident = $name:literal, $help:literal;)*) => {
        /// A process-wide counter.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum Counter {
            $(#[doc = $help] $variant,)*
        }

        impl Counter {
            /// All counters.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Name of the metric.
            pub const fn name(self) -> &'static str {
                match self { $(Self::$variant => $name,)* }
            }

            /// Help text of the metric.
            pub const fn help(self) -> &'static str {
                match self { $(Self::$variant => $help,)* }
            }
        }

        static VALUES: [AtomicU64; Counter::ALL.len()] = [const { AtomicU64::new(0) }; Counter::ALL.len()];
    };
}

counters! {
    CallersAccepted = "wasabiyard_callers_accepted_total", "Callers' connections accepted";
    CallersRefused = "wasabiyard_callers_refused_total", "Callers' connections refused because the instance had no room";
    LoginsFailed = "wasabiyard_logins_failed_total", "Logins refused";
    Statements = "wasabiyard_statements_total", "Statements admitted";
    StatementsLocal = "wasabiyard_statements_local_total", "Statements answered by the entry itself";
    Transactions = "wasabiyard_transactions_total", "Transactions completed";
    TransactionsFromReplica = "wasabiyard_transactions_from_replica_total", "Transactions that a replica served";
    NotRun = "wasabiyard_not_run_total", "Requests refused as not run";
    RateRefused = "wasabiyard_rate_refused_total", "Requests refused because the organisation's rate was used up";
    OutcomeUnknown = "wasabiyard_outcome_unknown_total", "Requests that ended with an unknown outcome";
    Retries = "wasabiyard_retries_total", "Requests sent again";
    BadMessages = "wasabiyard_bad_messages_total", "Messages of callers that broke the protocol";
    SnapshotChanges = "wasabiyard_snapshot_changes_total", "Changes of admission or manifest seen by callers";
    LateMessages = "wasabiyard_late_messages_total", "Messages of unknown streams that were dropped";
    LinksOpened = "wasabiyard_links_opened_total", "Links to other instances opened";
    LinksLost = "wasabiyard_links_lost_total", "Links to other instances lost";
    LinksRefused = "wasabiyard_links_refused_total", "Links refused because the fleet secret was not proved";
    ControlDropped = "wasabiyard_control_dropped_total", "Control messages dropped because a queue was full";
    LinkBytesSent = "wasabiyard_link_sent_bytes_total", "Bytes sent to other instances";
    SlotConnects = "wasabiyard_slot_connects_total", "Connections to slots opened";
    SlotConnectsFailed = "wasabiyard_slot_connects_failed_total", "Connects to slots that were refused or timed out";
    ReadsNotProved = "wasabiyard_reads_not_proved_total", "Reads that a replica could not serve because it did not hold the position";
    CommitsNotProved = "wasabiyard_commits_not_proved_total", "Commits that no majority was proved to hold in time";
    PromotionsStarted = "wasabiyard_promotions_started_total", "Promotions and planned handovers started";
    PromotionsDone = "wasabiyard_promotions_done_total", "Promotions and planned handovers that made a primary";
    LinkBytesReceived = "wasabiyard_link_received_bytes_total", "Bytes received from other instances";
}

/// Adds `n` to a counter.
pub fn add(counter: Counter, n: u64) {
    VALUES[counter as usize].fetch_add(n, Ordering::Relaxed);
}

/// Returns the value of a counter since the start of the process.
pub fn get(counter: Counter) -> u64 {
    VALUES[counter as usize].load(Ordering::Relaxed)
}
