//! Message formats, servers and clients: HTTP for callers, targets and the platform,
//! postcard between entries, declaration files for operators.

pub mod declaration;
pub mod event_log;
pub mod http_client;
pub mod http_server;
pub mod mutex_lock;
pub mod operator_client;
pub mod operator_message;
pub mod panic_guard;
pub mod peer_codec;
pub mod peer_message;
pub mod platform_client;
pub mod platform_message;
pub mod problem_details;
mod reset_connector;
pub mod server_process;
pub mod store_client;
pub mod target_message;
pub mod timer_hub;
