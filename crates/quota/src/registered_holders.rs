//! The registered processes, and which of them are proved to have ended.

use crate::Holder;

/// Registered processes as of the last read of the platform.
#[derive(Debug, Clone, Default)]
pub(crate) struct RegisteredHolders {
    /// Processes that may hold units.
    pub(crate) holders: Vec<Holder>,
    /// The part of `holders` that is proved to have ended.
    pub(crate) ended: Vec<Holder>,
}

impl RegisteredHolders {
    /// Compares the registrations with the platform's list of instances, which was read after them. A process
    /// registers only after it saw itself listed. It is therefore proved to have ended when it is no longer listed,
    /// or when a later process of the same name is.
    pub(crate) fn compare(registered: Vec<Holder>, listed: &[Holder]) -> Self {
        let entry = |holder: &Holder| listed.iter().find(|l| l.instance == holder.instance);
        let is_ended = |holder: &&Holder| entry(holder).is_none_or(|l| l.incarnation > holder.incarnation);
        Self {
            ended: registered.iter().filter(is_ended).cloned().collect(),
            holders: registered,
        }
    }
}
