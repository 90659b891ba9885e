//! Client of the platform's instance API: listing and rebooting.

use {
    crate::{
        http_client::{HttpClient, HttpFault, request_to},
        platform_message::InstanceList,
    },
    bytes::Bytes,
    hyper::Method,
    std::time::Duration,
};

/// Maximum size of a list, in bytes.
const LIST_BYTES_MAX: usize = 16 * 1024 * 1024;
/// Number of idle connections kept to the platform.
const IDLE_CONNECTIONS: usize = 2;

/// A client of the platform's instance API.
#[derive(Debug, Clone)]
pub struct PlatformClient {
    http: HttpClient,
    authority: String,
    timeout: Duration,
}

impl PlatformClient {
    /// Creates a client of the platform at `authority`, host and port.
    pub fn new(authority: String, timeout: Duration) -> Self {
        Self {
            http: HttpClient::new(IDLE_CONNECTIONS, LIST_BYTES_MAX),
            authority,
            timeout,
        }
    }

    /// Returns the instances changed after a revision; waits up to `wait` for a change.
    ///
    /// # Errors
    ///
    /// Any [`HttpFault`] of the call; `NoResponse` also for a body that can't be decoded.
    pub async fn instances_after(
        &self,
        after: u64,
        wait: Duration,
    ) -> Result<InstanceList, HttpFault> {
        let path = format!("/instances?after={after}&wait_ms={}", wait.as_millis());
        let request = request_to(Method::GET, &self.authority, &path, &[], Bytes::new())?;
        let response = self.http.send(request, wait + self.timeout).await?;
        serde_json::from_slice(&response.body).map_err(|error| HttpFault::NoResponse {
            detail: error.to_string(),
        })
    }

    /// Requests the platform to stop and restart an instance. Requests with the same
    /// `ticket` cause only one reboot.
    ///
    /// # Errors
    ///
    /// Any [`HttpFault`] of the call; `NoResponse` also for a status other than 202.
    pub async fn reboot(&self, name: &str, ticket: &str) -> Result<(), HttpFault> {
        let path = format!("/instances/{name}/reboot?ticket={ticket}");
        let request = request_to(Method::POST, &self.authority, &path, &[], Bytes::new())?;
        let response = self.http.send(request, self.timeout).await?;
        if response.status.as_u16() == 202 {
            return Ok(());
        }
        Err(HttpFault::NoResponse {
            detail: format!("status {}", response.status),
        })
    }
}
