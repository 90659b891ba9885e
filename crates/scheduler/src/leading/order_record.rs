//! Records orders for instances and the progress of waves in the store.

use {
    super::{leadership::Leadership, owner_writes::WriteChain},
    crate::{
        node::{SchedulerNode, millis, uptime_ms},
        store::{ORDERED_INSTANCES_KEY, wave_key},
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

/// Waves in one transaction. Each takes two of the 32 rows that the store allows.
const WAVES_PER_WRITE: usize = 12;

/// Recently ordered instances and the progress of waves, as stored. Orders are recorded before
/// they are sent, so that the next owner finds every order that may still be open.
#[derive(Debug, Default)]
pub(super) struct OrderRecord {
    ordered: FastMap<InstanceName, u64>,
    waves: FastMap<u64, WaveProgress>,
}

impl OrderRecord {
    /// Records orders that are about to be sent, and waves that have progressed. Returns whether
    /// all of it is stored, so that the orders may be sent.
    pub(super) async fn store(
        &mut self,
        node: &SchedulerNode,
        leadership: &Leadership,
        plan: &InstancePlan,
        orders: &[InstanceOrder],
    ) -> bool {
        let now_ms = uptime_ms();
        let retention_ms = millis(node.settings.instance_lease + CLOUD_TIMEOUT);
        self.ordered.retain(|_, at| now_ms < *at + retention_ms);
        for order in orders {
            self.ordered.insert(order.instance().clone(), now_ms);
        }
        let changed = self.changed_waves(node, plan);
        let mut chunks = changed.chunks(WAVES_PER_WRITE).collect::<Vec<_>>();
        if chunks.is_empty() && !orders.is_empty() {
            chunks.push(&[]);
        }
        for waves in chunks {
            if let Err(fault) = self.store_chunk(node, leadership, waves, orders).await {
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

    async fn store_chunk(
        &self,
        node: &SchedulerNode,
        leadership: &Leadership,
        waves: &[WaveProgress],
        orders: &[InstanceOrder],
    ) -> Result<(), KvFault> {
        let encode_fault = |error: serde_json::Error| KvFault::NotApplied {
            detail: error.to_string(),
        };
        let mut transaction = KvTransaction::default();
        if !orders.is_empty() {
            let names: Vec<_> = self.ordered.keys().collect();
            let value = serde_json::to_vec(&names).map_err(encode_fault)?;
            transaction = transaction.write(ORDERED_INSTANCES_KEY, &value, 0);
        }
        for wave in waves {
            let value = serde_json::to_vec(wave).map_err(encode_fault)?;
            let status = encode_wave_status(wave.completed);
            transaction = transaction.write(wave_key(wave.number), &value, 0).write(
                wave_status_key(wave.number),
                &status,
                0,
            );
        }
        leadership
            .writes
            .commit(node, leadership, WriteChain::Instances, transaction)
            .await
    }
}
