//! The succession of owners: claims, renewals, shutdowns, crashes and freezes.

use super::{
    fleet_model::FleetModel,
    owner_process::{OWNER_LEASE_MS, OwnerProcess},
    store_model::OwnerWrite,
};

/// Time between renewals, in milliseconds.
const RENEW_PERIOD_MS: u64 = 300;
/// Longest time for the answer to a renewal, in milliseconds.
const RENEW_TIMEOUT_MS: u64 = 600;
/// Pause after a failed claim, in milliseconds.
const CLAIM_RETRY_PAUSE_MS: u64 = 250;

impl FleetModel {
    /// Lets an entry claim the vacant ownership after a random delay.
    pub(super) fn await_claim(&mut self) {
        let delay_ms = self.draw(5..160);
        self.after(delay_ms, Self::claim);
    }

    fn claim(&mut self) {
        if self.store.owner_key.is_some() {
            return;
        }
        if self.is_store_out() {
            self.after(CLAIM_RETRY_PAUSE_MS, Self::claim);
            return;
        }
        let token = self.store.claim(self.now_ms + OWNER_LEASE_MS);
        self.watch_owner_lease(token);
        let sent_ms = self.now_ms - self.draw(2..15);
        let answer_ms = self.draw(2..15);
        let owner = self.owners.len();
        let process = OwnerProcess::new(token, self.store.term, sent_ms);
        let text = format!("owner {owner} has token {token}, term {}", process.term);
        self.owners.push(process);
        self.oracle.note(None, text);
        for earlier in 0..owner {
            let delay_ms = self.draw(2..40);
            self.after_in_owner(earlier, delay_ms, move |model| {
                model.end_ownership(earlier, "another owner");
            });
        }
        self.after_in_owner(owner, answer_ms, move |model| {
            model.take_over(owner);
            model.renew_later(owner);
        });
    }

    /// Removes the owner's key when its lease ends.
    fn watch_owner_lease(&mut self, token: u64) {
        let Some(key) = self.store.owner_key.filter(|key| key.token == token) else {
            return;
        };
        let left_ms = key.lease_until_ms.saturating_sub(self.now_ms);
        if left_ms == 0 {
            self.vacate();
            return;
        }
        self.after(left_ms, move |model| model.watch_owner_lease(token));
    }

    fn vacate(&mut self) {
        self.store.owner_key = None;
        self.await_claim();
    }

    fn renew_later(&mut self, owner: usize) {
        self.after_in_owner(owner, RENEW_PERIOD_MS, move |model| model.renew(owner));
    }

    fn renew(&mut self, owner: usize) {
        if self.owners[owner].is_ended {
            return;
        }
        let (sent_ms, delay_ms) = (self.now_ms, self.draw(2..15));
        self.after(delay_ms, move |model| model.apply_renewal(owner, sent_ms));
    }

    fn apply_renewal(&mut self, owner: usize, sent_ms: u64) {
        if self.is_store_out() {
            self.after_in_owner(owner, RENEW_TIMEOUT_MS, move |model| {
                model.renew_later(owner);
            });
            return;
        }
        let token = self.owners[owner].token;
        let answer_ms = self.draw(2..15);
        let now_ms = self.now_ms;
        if let Some(key) = self
            .store
            .owner_key
            .as_mut()
            .filter(|key| key.token == token)
        {
            key.lease_until_ms = now_ms + OWNER_LEASE_MS;
            self.after_in_owner(owner, answer_ms, move |model| {
                model.extend_authority(owner, token, sent_ms);
                model.renew_later(owner);
            });
            return;
        }
        self.after_in_owner(owner, answer_ms, move |model| model.win_back(owner));
    }

    fn extend_authority(&mut self, owner: usize, token: u64, sent_ms: u64) {
        let process = &mut self.owners[owner];
        process.token = token;
        process.authority_until_ms = sent_ms + super::owner_process::AUTHORITY_MS;
    }

    /// Claims ownership again after the lease ended, unless another process has owned it since.
    fn win_back(&mut self, owner: usize) {
        let process = &self.owners[owner];
        if process.is_ended {
            return;
        }
        if self.store.owner_key.is_some() || self.store.term != process.term || self.is_store_out()
        {
            self.end_ownership(owner, "lease ended");
            return;
        }
        let token = self.store.claim(self.now_ms + OWNER_LEASE_MS);
        self.watch_owner_lease(token);
        self.owners[owner].term = self.store.term;
        let text = format!("owner {owner} wins back ownership, token {token}");
        self.oracle.note(None, text);
        self.extend_authority(owner, token, self.now_ms);
        self.renew_later(owner);
    }

    /// Notes that a newer fencing token rejected the owner's.
    pub(super) fn mark_fenced(&mut self, owner: usize, token: u64) {
        if self.owners[owner].token == token {
            self.end_ownership(owner, "fenced");
        }
    }

    pub(super) fn end_ownership(&mut self, owner: usize, reason: &str) {
        let process = &mut self.owners[owner];
        if std::mem::replace(&mut process.is_ended, true) {
            return;
        }
        let text = format!("owner {owner} ends: {reason}");
        self.oracle.note(None, text);
    }

    /// Returns the process that owns the schedule.
    pub(super) fn current_owner(&self) -> Option<usize> {
        let key = self.store.owner_key?;
        let is_current = |process: &OwnerProcess| {
            process.token == key.token && !process.is_ended && !process.is_killed
        };
        self.owners.iter().rposition(is_current)
    }

    /// Shuts an owner down: it records its final state and releases ownership.
    pub(super) fn shut_down(&mut self, owner: usize) {
        let was_restored = self.owners[owner].is_restored;
        self.end_ownership(owner, "leaving");
        let now_ms = self.now_ms;
        let orphans_left_ms = self.owners[owner].schedule.orphans_left_ms(now_ms);
        let Some(orphans_left_ms) = orphans_left_ms.filter(|_| was_restored) else {
            self.release(owner);
            return;
        };
        let hand_over = move |model: &mut Self, _| {
            let handover = OwnerWrite::Handover {
                term: model.owners[owner].term,
                orphans_left_ms,
            };
            model.commit(owner, handover, move |model, _| model.release(owner));
        };
        self.record_progress(owner, move |model, _| {
            if model.profile.has_product_records {
                model.store_all_shards(owner, Box::new(hand_over));
            } else {
                let snapshots = model.worker_snapshots(owner);
                model.store_snapshots(owner, snapshots, hand_over);
            }
        });
    }

    fn release(&mut self, owner: usize) {
        let token = self.owners[owner].token;
        if self.store.is_owner(token) && !self.is_store_out() {
            self.vacate();
        }
    }
}
