//! The list of instances, which readers see with a configurable lag.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use wasabiyard_model::{InstanceId, Time};
use wasabiyard_platform::ListedInstance;

/// Changes are kept separately for this long, which bounds the lag that has an effect.
const MAX_LISTING_LAG: Duration = Duration::from_mins(10);

/// The list of instances, as a base state and the recent changes that a lagging reader may not see yet.
#[derive(Debug, Default)]
pub struct Listing {
    /// The list without the changes in `recent`.
    base: BTreeMap<InstanceId, ListedInstance>,
    /// Changes not older than `MAX_LISTING_LAG`, oldest first. `None` removes the instance.
    recent: VecDeque<(Time, InstanceId, Option<ListedInstance>)>,
}

impl Listing {
    /// Adds or replaces an instance, or removes it when `instance` is `None`.
    pub fn set(&mut self, now: Time, id: InstanceId, instance: Option<ListedInstance>) {
        self.recent.push_back((now, id, instance));
        while self.recent.front().is_some_and(|c| c.0 + MAX_LISTING_LAG < now) {
            let (_, id, instance) = self.recent.pop_front().expect("checked above");
            apply(&mut self.base, &id, instance.as_ref());
        }
    }

    /// Returns the list as it was `lag` before `now`.
    pub fn read(&self, now: Time, lag: Duration) -> Vec<ListedInstance> {
        let mut list = self.base.clone();
        let visible_changes = self
            .recent
            .iter()
            .take_while(|(changed_at, ..)| *changed_at + lag <= now);
        for (_, id, instance) in visible_changes {
            apply(&mut list, id, instance.as_ref());
        }
        list.into_values().collect()
    }
}

fn apply(
    list: &mut BTreeMap<InstanceId, ListedInstance>,
    id: &InstanceId,
    instance: Option<&ListedInstance>,
) {
    match instance {
        Some(instance) => list.insert(id.clone(), instance.clone()),
        None => list.remove(id),
    };
}
