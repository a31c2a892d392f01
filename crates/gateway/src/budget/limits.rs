//! Division of the memory and the descriptors of a machine.

const MIB: usize = 1 << 20;

/// Memory limit without a setting.
const DEFAULT_MEMORY_MB: usize = 512;
/// Resident memory of a process without callers.
const IDLE_PROCESS_BYTES: usize = 12 * MIB;
/// Part of the remaining memory that the budget divides among callers. Idle sessions, what the allocator keeps and bytes
/// that the kernel has received take the other parts.
const BUDGET_FRACTION: usize = 4;
/// Smallest budget. One message of the largest size needs three times its length while it runs.
const MIN_BUDGET_BYTES: usize = 4 * MIB;
/// Memory of an idle session.
const SESSION_BYTES: usize = 9 * 1_024;
/// Descriptor limit without a setting.
const DEFAULT_DESCRIPTORS: usize = 20_000;
/// Descriptors that the platform reserves for files.
const FILE_DESCRIPTORS: usize = 200;
/// Descriptors of listeners, of connections to the store and to the promotion service, and of pages.
const OWN_DESCRIPTORS: usize = 64;
/// Part of the remaining descriptors that is reserved for backend connections.
const BACKEND_FRACTION: usize = 8;

/// Limits that the machine sets; the defaults apply where it sets none.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResourceLimits {
    /// Memory of the process, in MiB.
    pub memory_mb: usize,
    /// Open descriptors of the process, files included.
    pub max_descriptors: usize,
}

impl Default for ResourceLimits {
    fn default() -> Self {
        Self {
            memory_mb: DEFAULT_MEMORY_MB,
            max_descriptors: DEFAULT_DESCRIPTORS,
        }
    }
}

impl ResourceLimits {
    /// The limits with at most `max_descriptors`.
    #[must_use]
    pub fn with_at_most_descriptors(self, max_descriptors: usize) -> Self {
        Self {
            max_descriptors: self.max_descriptors.min(max_descriptors),
            ..self
        }
    }

    /// Bytes that may be held for callers.
    pub fn budget_bytes(&self) -> usize {
        (self.callers_memory() / BUDGET_FRACTION).max(MIN_BUDGET_BYTES)
    }

    /// Number of connections of callers that may be open.
    pub fn max_callers(&self) -> usize {
        let descriptors = self
            .max_descriptors
            .saturating_sub(FILE_DESCRIPTORS + OWN_DESCRIPTORS);
        let by_descriptors = descriptors - descriptors / BACKEND_FRACTION;
        let by_memory = self.callers_memory() / BUDGET_FRACTION / SESSION_BYTES;
        by_descriptors.min(by_memory).max(1)
    }

    const fn callers_memory(&self) -> usize {
        (self.memory_mb * MIB).saturating_sub(IDLE_PROCESS_BYTES)
    }
}
