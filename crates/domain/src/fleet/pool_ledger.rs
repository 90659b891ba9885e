//! A pool's disruption tokens, counted against its availability budget.

use {
    crate::{
        codes::{Refusal, ResultCode},
        collections::FastMap,
        names::{InstanceName, WaveName},
    },
    serde::{Deserialize, Serialize},
};

/// Leave to take one instance out of service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DisruptionToken {
    /// The wave or move that took it.
    pub holder: WaveName,
}

/// The planned stops and moves that a pool has open, one record a pool.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolLedger {
    tokens: FastMap<InstanceName, DisruptionToken>,
}

impl PoolLedger {
    /// Takes leave to drain an instance. `out_otherwise` names the instances out for
    /// any other cause, and `missing` counts those that the pool lacks of its size; an
    /// instance with a token counts once. Taking the same leave again for the same
    /// holder changes nothing.
    ///
    /// # Errors
    ///
    /// `InstanceBusy` if another holder has the instance, `BudgetSpent` if one more
    /// out would exceed `max_out`.
    pub fn begin_drain(
        &mut self,
        instance: &InstanceName,
        holder: &WaveName,
        out_otherwise: &[InstanceName],
        missing: u32,
        max_out: u32,
    ) -> Result<(), Refusal> {
        if let Some(token) = self.tokens.get(instance) {
            if token.holder == *holder {
                return Ok(());
            }
            let detail = format!("instance '{instance}' is held by '{}'", token.holder);
            return Err(Refusal::not_run(ResultCode::InstanceBusy, detail));
        }
        let failed = out_otherwise
            .iter()
            .filter(|name| *name != instance && !self.tokens.contains_key(*name))
            .count();
        let out = self.tokens.len() + failed + missing as usize;
        if out >= max_out as usize {
            let detail = format!("{out} instances are out, and the budget is {max_out}");
            return Err(Refusal::not_run(ResultCode::BudgetSpent, detail));
        }
        self.tokens.insert(
            instance.clone(),
            DisruptionToken {
                holder: holder.clone(),
            },
        );
        Ok(())
    }

    /// Gives the leave back, if the holder still has it.
    pub fn end_drain(&mut self, instance: &InstanceName, holder: &WaveName) {
        if self
            .tokens
            .get(instance)
            .is_some_and(|token| token.holder == *holder)
        {
            self.tokens.remove(instance);
        }
    }

    /// Who has leave to keep an instance out.
    pub fn holder_of(&self, instance: &InstanceName) -> Option<&WaveName> {
        self.tokens.get(instance).map(|token| &token.holder)
    }

    /// The instances out by plan.
    pub fn instances_out(&self) -> impl Iterator<Item = &InstanceName> {
        self.tokens.keys()
    }

    /// The instances that this holder has out.
    pub fn instances_held_by(&self, holder: &WaveName) -> Vec<InstanceName> {
        let held = self
            .tokens
            .iter()
            .filter(|(_, token)| token.holder == *holder);
        let mut names: Vec<InstanceName> = held.map(|(name, _)| name.clone()).collect();
        names.sort();
        names
    }
}
