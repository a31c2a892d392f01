//! Why a step of a primary change was not taken.

use thiserror::Error;
use wasabiyard_platform::PlatformError;

/// Why a step of a primary change was not taken. The next check of the service starts again from its record.
#[derive(Debug, Error)]
pub(super) enum StepError {
    /// A call to the store failed.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// The record is no longer the one from which the step was decided.
    #[error("the primary record has changed since the step was decided")]
    RecordChanged,
    /// This instance must not replace primaries any more.
    #[error("the failover lease is not held any more")]
    LeaseLost,
}

impl StepError {
    /// Whether the store may have another record than the one that is known here.
    pub(super) const fn may_have_missed_record(&self) -> bool {
        match self {
            Self::Platform(PlatformError::Unavailable { .. }) | Self::LeaseLost => false,
            Self::Platform(
                PlatformError::Conflict { .. } | PlatformError::Unknown | PlatformError::Malformed { .. },
            )
            | Self::RecordChanged => true,
        }
    }
}
