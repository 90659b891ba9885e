//! The disruption tokens of a pool, counted against its availability budget.

use {
    crate::{
        codes::{Refusal, ResultCode},
        collections::FastMap,
        names::{InstanceName, WaveName},
    },
    serde::{Deserialize, Serialize},
};

/// Permission to take one instance out of service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DisruptionToken {
    /// The wave or move that holds it.
    pub holder: WaveName,
}

/// The planned disruptions in progress in a pool; one record per pool.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolLedger {
    tokens: FastMap<InstanceName, DisruptionToken>,
}

impl PoolLedger {
    /// Acquires the disruption token of an instance. `unplanned_out` names the instances
    /// out of service for any other cause, and `missing` is the number of instances the
    /// pool lacks of its declared size; an instance with a token counts once. Idempotent
    /// for the same holder.
    ///
    /// # Errors
    ///
    /// `InstanceBusy` if another holder has the token, `BudgetSpent` if one more instance
    /// out of service would exceed `max_out`.
    pub fn acquire_token(
        &mut self,
        instance: &InstanceName,
        holder: &WaveName,
        unplanned_out: &[InstanceName],
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
        let failed = unplanned_out
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

    /// Releases the instance's token if `holder` has it.
    pub fn release_token(&mut self, instance: &InstanceName, holder: &WaveName) {
        if self
            .tokens
            .get(instance)
            .is_some_and(|token| token.holder == *holder)
        {
            self.tokens.remove(instance);
        }
    }

    /// Returns the holder of the instance's token.
    pub fn holder_of(&self, instance: &InstanceName) -> Option<&WaveName> {
        self.tokens.get(instance).map(|token| &token.holder)
    }

    /// Iterates over the instances that have a token.
    pub fn instances_out(&self) -> impl Iterator<Item = &InstanceName> {
        self.tokens.keys()
    }

    /// Returns the instances whose tokens this holder has, in order of name.
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
