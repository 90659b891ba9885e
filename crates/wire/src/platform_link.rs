//! The platform's list of instances, and its reboot.

use {
    crate::{
        http_link::{HttpFault, HttpLink, request_to},
        platform_message::InstanceList,
    },
    bytes::Bytes,
    hyper::Method,
    std::time::Duration,
};

/// Largest list taken, in bytes.
const LIST_BYTES_MAX: usize = 16 * 1024 * 1024;
/// Spare connections to the platform.
const IDLE_CONNECTIONS: usize = 2;

/// A client of the platform's instance calls.
#[derive(Debug, Clone)]
pub struct PlatformLink {
    http: HttpLink,
    authority: String,
    timeout: Duration,
}

impl PlatformLink {
    /// A client of the platform at `authority`, host and port.
    pub fn new(authority: String, timeout: Duration) -> Self {
        Self {
            http: HttpLink::new(IDLE_CONNECTIONS, LIST_BYTES_MAX),
            authority,
            timeout,
        }
    }

    /// What changed in the list after a revision; waits up to `wait` for a change.
    ///
    /// # Errors
    ///
    /// The exchange's fault, or `NoAnswer` for an answer that can't be read.
    pub async fn instances_after(
        &self,
        after: u64,
        wait: Duration,
    ) -> Result<InstanceList, HttpFault> {
        let path = format!("/instances?after={after}&wait_ms={}", wait.as_millis());
        let request = request_to(Method::GET, &self.authority, &path, &[], Bytes::new())?;
        let answer = self.http.send(request, wait + self.timeout).await?;
        serde_json::from_slice(&answer.body).map_err(|error| HttpFault::NoResponse {
            detail: error.to_string(),
        })
    }

    /// Asks the platform to stop an instance and start it again. The platform takes a
    /// second asking under the same ticket as the same reboot.
    ///
    /// # Errors
    ///
    /// The exchange's fault, or `NoAnswer` for an answer other than accepted.
    pub async fn reboot(&self, name: &str, ticket: &str) -> Result<(), HttpFault> {
        let path = format!("/instances/{name}/reboot?ticket={ticket}");
        let request = request_to(Method::POST, &self.authority, &path, &[], Bytes::new())?;
        let answer = self.http.send(request, self.timeout).await?;
        if answer.status.as_u16() == 202 {
            return Ok(());
        }
        Err(HttpFault::NoResponse {
            detail: format!("status {}", answer.status),
        })
    }
}
