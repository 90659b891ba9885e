//! Client of the stand-ins' control interfaces, and readiness checks of processes.

use {
    super::{
        deployment_fault::DeploymentFault, port_layout::PortLayout,
        running_deployment::START_TIMEOUT,
    },
    bytes::Bytes,
    dotterelshore_wire::http_client::{HttpClient, HttpFault, HttpResponse, request_to},
    hyper::Method,
    serde::Serialize,
    std::{net::SocketAddr, time::Duration},
};

/// Timeout of a control call.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of a response body, in bytes.
const RESPONSE_BYTES_MAX: usize = 4 * 1024 * 1024;

/// Client of the control interfaces of a deployment's stand-ins.
#[derive(Debug)]
pub(super) struct ControlClient {
    http: HttpClient,
    layout: PortLayout,
}

impl ControlClient {
    /// Creates a client for the stand-ins at the addresses of `layout`.
    pub(super) fn new(layout: PortLayout) -> Self {
        Self {
            http: HttpClient::new(4, RESPONSE_BYTES_MAX),
            layout,
        }
    }

    /// Sends a GET request.
    pub(super) async fn get(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<HttpResponse, DeploymentFault> {
        let request = request_to(Method::GET, &address.to_string(), path, &[], Bytes::new())?;
        Ok(self.http.send(request, CONTROL_TIMEOUT).await?)
    }

    /// Waits until a process responds to a GET request with a status other than 503.
    pub(super) async fn await_response(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<(), DeploymentFault> {
        let deadline = tokio::time::Instant::now() + START_TIMEOUT;
        while tokio::time::Instant::now() < deadline {
            let response = self.get(address, path).await;
            if response.is_ok_and(|response| response.status.as_u16() != 503) {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(15)).await;
        }
        Err(DeploymentFault::Failed {
            message: format!("timed out waiting for a response from {address}{path}"),
        })
    }

    /// Sends a POST request to the platform stand-in.
    pub(super) async fn post_to_platform(
        &self,
        path: &str,
        body: &(impl Serialize + ?Sized),
    ) -> Result<(), DeploymentFault> {
        self.post(self.layout.platform_address(), path, body).await
    }

    /// Sends a POST request to the host of a pool's targets.
    pub(super) async fn post_to_pool_host(
        &self,
        pool: usize,
        path: &str,
        body: &impl Serialize,
    ) -> Result<(), DeploymentFault> {
        self.post(self.layout.control_address(pool), path, body)
            .await
    }

    async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        body: &(impl Serialize + ?Sized),
    ) -> Result<(), DeploymentFault> {
        let bytes = serde_json::to_vec(body).unwrap_or_default();
        let request = request_to(
            Method::POST,
            &address.to_string(),
            path,
            &[],
            Bytes::from(bytes),
        )?;
        let response = self.http.send(request, CONTROL_TIMEOUT).await?;
        if response.status.is_success() {
            return Ok(());
        }
        Err(HttpFault::NoResponse {
            detail: format!("{path}: status {}", response.status),
        }
        .into())
    }
}
