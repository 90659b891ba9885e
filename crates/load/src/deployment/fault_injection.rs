//! Faults that a test injects into a running deployment.

use {
    super::{deployment_fault::DeploymentFault, running_deployment::RunningDeployment},
    dotterelshore_standins::{platform::FaultMode, targets::TargetBehaviour},
    std::time::Duration,
};

impl RunningDeployment {
    /// Kills an entry and, after `listed_after`, marks it removed in the platform's instance list.
    ///
    /// # Errors
    ///
    /// Returns an error if the call to the platform stand-in fails.
    pub async fn kill_entry(
        &mut self,
        number: usize,
        listed_after: Duration,
    ) -> Result<(), DeploymentFault> {
        if let Some(mut process) = self.entries[number].process.take() {
            process.kill();
        }
        tokio::time::sleep(listed_after).await;
        self.mark_entry_gone(number).await
    }

    /// Ends an entry gracefully and marks it removed in the platform's instance list.
    ///
    /// An entry that has not exited after `wait` is killed.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry does not exit within `wait` or the call to the platform
    /// stand-in fails.
    pub async fn terminate_entry(
        &mut self,
        number: usize,
        wait: Duration,
    ) -> Result<(), DeploymentFault> {
        let Some(mut process) = self.entries[number].process.take() else {
            return Ok(());
        };
        let exited = tokio::task::spawn_blocking(move || process.terminate(wait))
            .await
            .unwrap_or(false);
        self.mark_entry_gone(number).await?;
        if exited {
            Ok(())
        } else {
            Err(DeploymentFault::Failed {
                message: format!(
                    "timed out waiting for {} to exit",
                    self.entries[number].name
                ),
            })
        }
    }

    /// Freezes or thaws an entry's process.
    pub fn set_entry_frozen(&self, number: usize, frozen: bool) {
        if let Some(process) = &self.entries[number].process {
            if frozen {
                process.freeze();
            } else {
                process.thaw();
            }
        }
    }

    /// Freezes or thaws the process that hosts a pool's targets.
    pub fn set_targets_frozen(&self, pool: &str, frozen: bool) {
        for (_, process) in self.hosts.iter().filter(|(name, _)| name == pool) {
            if frozen {
                process.freeze();
            } else {
                process.thaw();
            }
        }
    }

    /// Creates or heals a network partition between two groups of entries.
    pub fn set_partitioned(&self, group: &[usize], other_group: &[usize], partitioned: bool) {
        let between = |from: &usize, to: &usize| {
            (group.contains(from) && other_group.contains(to))
                || (group.contains(to) && other_group.contains(from))
        };
        for (_, _, switch) in self
            .peer_switches
            .iter()
            .filter(|(from, to, _)| between(from, to))
        {
            switch.set_connected(!partitioned);
        }
    }

    /// Creates or heals a network partition between an entry and the platform.
    pub fn set_platform_partitioned(&self, number: usize, partitioned: bool) {
        if let Some(switch) = self.platform_switches.get(number) {
            switch.set_connected(!partitioned);
        }
    }

    /// Sets the faults that the platform stand-in injects.
    ///
    /// # Errors
    ///
    /// Returns an error if the call to the stand-in fails.
    pub async fn set_platform_mode(&self, mode: FaultMode) -> Result<(), DeploymentFault> {
        self.control.post_to_platform("/control/mode", &mode).await
    }

    /// Sets the faults that a target injects.
    ///
    /// # Errors
    ///
    /// Returns an error if the call to the stand-in fails.
    pub async fn set_target_behaviour(
        &self,
        pool: &str,
        target: &str,
        behaviour: TargetBehaviour,
    ) -> Result<(), DeploymentFault> {
        let path = format!("/targets/{target}/behave");
        self.control
            .post_to_pool_host(self.pool_number(pool), &path, &behaviour)
            .await
    }

    /// Stops a target without notice, as when its rack fails, or starts it again.
    ///
    /// # Errors
    ///
    /// Returns an error if the call to a stand-in fails.
    pub async fn set_target_down(
        &self,
        pool: &str,
        target: &str,
        down: bool,
    ) -> Result<(), DeploymentFault> {
        let verb = if down { "stop" } else { "start" };
        self.control
            .post_to_pool_host(
                self.pool_number(pool),
                &format!("/targets/{target}/{verb}"),
                &(),
            )
            .await?;
        let liveness = if down { "down" } else { "live" };
        self.control
            .post_to_platform(&format!("/control/instances/{target}/{liveness}"), &())
            .await
    }

    /// Makes the platform announce that a target is leaving.
    ///
    /// # Errors
    ///
    /// Returns an error if the call to the stand-in fails.
    pub async fn announce_leaving(&self, target: &str) -> Result<(), DeploymentFault> {
        self.control
            .post_to_platform(&format!("/control/instances/{target}/leaving"), &())
            .await
    }

    async fn mark_entry_gone(&self, number: usize) -> Result<(), DeploymentFault> {
        let Some(stamp) = &self.entries[number].stamp else {
            return Ok(());
        };
        self.control
            .post_to_platform(&format!("/control/instances/{stamp}/gone"), &())
            .await
    }
}
