//! What a test does to a deployment while it runs.

use {
    super::{deployment_fault::DeploymentFault, running_deployment::RunningDeployment},
    dotterelshore_standins::{platform::FaultMode, targets::TargetBehaviour},
    std::time::Duration,
};

impl RunningDeployment {
    /// Kills an entry and, after `listed_after`, has the platform's list say that it is gone.
    ///
    /// # Errors
    ///
    /// The platform's stand-in did not take it.
    pub async fn kill_entry(
        &mut self,
        number: usize,
        listed_after: Duration,
    ) -> Result<(), DeploymentFault> {
        if let Some(mut process) = self.entries[number].process.take() {
            process.kill();
        }
        tokio::time::sleep(listed_after).await;
        self.list_gone(number).await
    }

    /// Ends an entry gracefully and has the list say that it is gone.
    ///
    /// # Errors
    ///
    /// It did not end in time, or the platform's stand-in did not take it.
    pub async fn terminate_entry(
        &mut self,
        number: usize,
        wait: Duration,
    ) -> Result<(), DeploymentFault> {
        let Some(mut process) = self.entries[number].process.take() else {
            return Ok(());
        };
        let ended = tokio::task::spawn_blocking(move || process.terminate(wait))
            .await
            .unwrap_or(false);
        self.list_gone(number).await?;
        if ended {
            Ok(())
        } else {
            Err(DeploymentFault::Late {
                what: format!("the end of {}", self.entries[number].name),
            })
        }
    }

    /// Freezes an entry, or thaws it.
    pub fn set_frozen(&self, number: usize, frozen: bool) {
        if let Some(process) = &self.entries[number].process {
            if frozen {
                process.freeze();
            } else {
                process.thaw();
            }
        }
    }

    /// Freezes the targets of a pool, or thaws them.
    pub fn set_targets_frozen(&self, pool: &str, frozen: bool) {
        for (_, process) in self.hosts.iter().filter(|(name, _)| name == pool) {
            if frozen {
                process.freeze();
            } else {
                process.thaw();
            }
        }
    }

    /// Cuts every link between two groups of entries, or opens them.
    pub fn set_cut(&self, some: &[usize], others: &[usize], cut: bool) {
        let between = |from: &usize, to: &usize| {
            (some.contains(from) && others.contains(to))
                || (some.contains(to) && others.contains(from))
        };
        for (_, _, gate) in self
            .peer_gates
            .iter()
            .filter(|(from, to, _)| between(from, to))
        {
            gate.set_open(!cut);
        }
    }

    /// Cuts an entry from the platform, or opens the link.
    pub fn set_platform_cut(&self, number: usize, cut: bool) {
        if let Some(gate) = self.platform_gates.get(number) {
            gate.set_open(!cut);
        }
    }

    /// Has the platform misbehave.
    ///
    /// # Errors
    ///
    /// The stand-in did not take it.
    pub async fn set_platform_mode(&self, mode: FaultMode) -> Result<(), DeploymentFault> {
        self.control.tell_platform("/control/mode", &mode).await
    }

    /// Has a target misbehave.
    ///
    /// # Errors
    ///
    /// The stand-in did not take it.
    pub async fn set_behaviour(
        &self,
        pool: &str,
        target: &str,
        behaviour: TargetBehaviour,
    ) -> Result<(), DeploymentFault> {
        let path = format!("/targets/{target}/behave");
        self.control
            .tell_pool(self.pool_number(pool), &path, &behaviour)
            .await
    }

    /// Stops a target without warning, as when its rack fails, or starts it again.
    ///
    /// # Errors
    ///
    /// A stand-in did not take it.
    pub async fn set_target_down(
        &self,
        pool: &str,
        target: &str,
        down: bool,
    ) -> Result<(), DeploymentFault> {
        let verb = if down { "stop" } else { "start" };
        self.control
            .tell_pool(
                self.pool_number(pool),
                &format!("/targets/{target}/{verb}"),
                &(),
            )
            .await?;
        let life = if down { "down" } else { "live" };
        self.control
            .tell_platform(&format!("/control/instances/{target}/{life}"), &())
            .await
    }

    /// Has the platform announce that a target leaves.
    ///
    /// # Errors
    ///
    /// The stand-in did not take it.
    pub async fn announce_leaving(&self, target: &str) -> Result<(), DeploymentFault> {
        self.control
            .tell_platform(&format!("/control/instances/{target}/leaving"), &())
            .await
    }

    async fn list_gone(&self, number: usize) -> Result<(), DeploymentFault> {
        let Some(stamp) = &self.entries[number].stamp else {
            return Ok(());
        };
        self.control
            .tell_platform(&format!("/control/instances/{stamp}/gone"), &())
            .await
    }
}
