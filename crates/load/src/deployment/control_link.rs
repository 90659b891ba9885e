//! Calls by which the harness controls the stand-ins and waits for processes.

use {
    super::{
        deployment_fault::DeploymentFault, port_plan::PortPlan, running_deployment::START_WAIT,
    },
    bytes::Bytes,
    dotterelshore_wire::http_client::{HttpClient, HttpFault, HttpResponse, request_to},
    hyper::Method,
    serde::Serialize,
    std::{net::SocketAddr, time::Duration},
};

/// Longest control call.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest answer taken, in bytes.
const ANSWER_BYTES_MAX: usize = 4 * 1024 * 1024;

/// The harness's client of the stand-ins.
#[derive(Debug)]
pub(super) struct ControlLink {
    http: HttpClient,
    plan: PortPlan,
}

impl ControlLink {
    /// A client of a deployment's stand-ins.
    pub(super) fn new(plan: PortPlan) -> Self {
        Self {
            http: HttpClient::new(4, ANSWER_BYTES_MAX),
            plan,
        }
    }

    /// Reads a path.
    pub(super) async fn read(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<HttpResponse, DeploymentFault> {
        let request = request_to(Method::GET, &address.to_string(), path, &[], Bytes::new())?;
        Ok(self.http.send(request, CONTROL_TIMEOUT).await?)
    }

    /// Waits until a process answers a path with anything but 503.
    pub(super) async fn await_answer(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<(), DeploymentFault> {
        let until = tokio::time::Instant::now() + START_WAIT;
        while tokio::time::Instant::now() < until {
            let answer = self.read(address, path).await;
            if answer.is_ok_and(|answer| answer.status.as_u16() != 503) {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(15)).await;
        }
        Err(DeploymentFault::Late {
            what: format!("an answer of {address}{path}"),
        })
    }

    /// Tells the platform's stand-in something.
    pub(super) async fn tell_platform(
        &self,
        path: &str,
        body: &(impl Serialize + ?Sized),
    ) -> Result<(), DeploymentFault> {
        self.tell(self.plan.platform(), path, body).await
    }

    /// Tells the host of a pool's targets something.
    pub(super) async fn tell_pool(
        &self,
        pool: usize,
        path: &str,
        body: &impl Serialize,
    ) -> Result<(), DeploymentFault> {
        self.tell(self.plan.control(pool), path, body).await
    }

    async fn tell(
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
        let answer = self.http.send(request, CONTROL_TIMEOUT).await?;
        if answer.status.is_success() {
            return Ok(());
        }
        Err(HttpFault::NoResponse {
            detail: format!("{path}: status {}", answer.status),
        }
        .into())
    }
}
