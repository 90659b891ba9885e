//! Needs for which a pool has no room, in one planning pass.

use {super::job_plan::Resources, std::sync::Arc};

/// The need of a task that found no room.
#[derive(Debug)]
struct UnplacedNeed {
    /// The label that its worker must have.
    label: Option<Arc<str>>,
    need: Resources,
}

impl UnplacedNeed {
    /// Whether a task with this label and need finds no room either, since it needs no less.
    fn covers(&self, label: Option<&Arc<str>>, need: Resources) -> bool {
        let is_label_covered = self.label.is_none() || self.label.as_ref() == label;
        is_label_covered && self.need.fits(Resources::default(), need)
    }
}

/// Needs for which a pool has no room. Free room only shrinks during a planning pass, so that
/// tasks that need at least as much are skipped without a look at the workers.
#[derive(Debug, Default)]
pub(super) struct UnplacedNeeds(Vec<UnplacedNeed>);

impl UnplacedNeeds {
    /// Whether a task surely finds no room.
    pub(super) fn covers(&self, label: Option<&Arc<str>>, need: Resources) -> bool {
        let mut known = self.0.iter();
        known.any(|known| known.covers(label, need))
    }

    /// Records that no worker with this label has room for a need.
    pub(super) fn record(&mut self, label: Option<&Arc<str>>, need: Resources) {
        let added = UnplacedNeed {
            label: label.cloned(),
            need,
        };
        self.0
            .retain(|known| !added.covers(known.label.as_ref(), known.need));
        self.0.push(added);
    }
}
