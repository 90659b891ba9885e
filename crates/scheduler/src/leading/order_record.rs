//! What the store holds of orders for instances, written before they are sent.

use {
    super::{leadership::Leadership, owner_log::LogChain},
    crate::{
        node::{SchedulerNode, millis, uptime_ms},
        store::{ORDERED_KEY, wave_key},
    },
    dotterelshore_domain::{
        collections::FastMap,
        names::InstanceName,
        schedule::{InstanceOrder, InstancePlan, WaveProgress},
    },
    dotterelshore_platform::{
        CLOUD_TIMEOUT, KvFault, KvTransaction, encode_wave_status, wave_status_key,
    },
    dotterelshore_wire::log_event,
};

/// Waves in one write. Each takes two of the 32 entries that the platform allows.
const WAVES_AT_ONCE: usize = 12;

/// The instances ordered lately and the progress of waves, as recorded. An owner that took
/// over finds every order that its predecessor may have sent: only an owner can record.
#[derive(Debug, Default)]
pub(super) struct OrderRecord {
    ordered: FastMap<InstanceName, u64>,
    waves: FastMap<u64, WaveProgress>,
}

impl OrderRecord {
    /// Records orders that are about to be sent, and waves that have gone on. Tells whether
    /// all of it is recorded, so that the orders may be sent.
    pub(super) async fn store(
        &mut self,
        node: &SchedulerNode,
        leadership: &Leadership,
        plan: &InstancePlan,
        orders: &[InstanceOrder],
    ) -> bool {
        let now_ms = uptime_ms();
        let memory_ms = millis(node.settings.instance_lease + CLOUD_TIMEOUT);
        self.ordered.retain(|_, at| now_ms < *at + memory_ms);
        for order in orders {
            self.ordered.insert(order.instance().clone(), now_ms);
        }
        let changed = self.changed_waves(node, plan);
        let mut parts = changed.chunks(WAVES_AT_ONCE).collect::<Vec<_>>();
        if parts.is_empty() && !orders.is_empty() {
            parts.push(&[]);
        }
        for waves in parts {
            if let Err(fault) = self.store_part(node, leadership, waves, orders).await {
                node.metrics.count_retry("order-record");
                log_event!(
                    Info,
                    "orders-not-recorded",
                    orders = orders.len(),
                    waves = waves.len(),
                    error = fault
                );
                return false;
            }
            let stored = waves.iter().map(|wave| (wave.number, wave.clone()));
            self.waves.extend(stored);
        }
        true
    }

    fn changed_waves(&self, node: &SchedulerNode, plan: &InstancePlan) -> Vec<WaveProgress> {
        let orders = node.waves.borrow();
        let waves = orders
            .iter()
            .filter_map(|order| plan.progress(order.number));
        waves
            .filter(|wave| self.waves.get(&wave.number) != Some(wave))
            .collect()
    }

    async fn store_part(
        &self,
        node: &SchedulerNode,
        leadership: &Leadership,
        waves: &[WaveProgress],
        orders: &[InstanceOrder],
    ) -> Result<(), KvFault> {
        let not_encoded = |error: serde_json::Error| KvFault::NotApplied {
            detail: error.to_string(),
        };
        let mut write = KvTransaction::default();
        if !orders.is_empty() {
            let names: Vec<_> = self.ordered.keys().collect();
            let value = serde_json::to_vec(&names).map_err(not_encoded)?;
            write = write.write(ORDERED_KEY, &value, 0);
        }
        for wave in waves {
            let value = serde_json::to_vec(wave).map_err(not_encoded)?;
            let status = encode_wave_status(wave.completed);
            write = write.write(wave_key(wave.number), &value, 0).write(
                wave_status_key(wave.number),
                &status,
                0,
            );
        }
        leadership
            .log
            .commit(node, leadership, LogChain::Instances, write)
            .await
    }
}
