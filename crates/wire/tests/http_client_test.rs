//! Tests of which addresses the HTTP client accepts, and of how it ends the connection of an
//! abandoned request.

use {
    bytes::Bytes,
    dotterelshore_testkit::named_cases,
    dotterelshore_wire::http_client::{HttpClient, request_to},
    hyper::Method,
    std::{io::ErrorKind, time::Duration},
    tokio::{io::AsyncReadExt, net::TcpListener},
};

/// Lets a request time out, and checks whether the server sees a connection reset.
fn check_abandoned_request(client: &HttpClient, reset: bool) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let authority = listener.local_addr().expect("an address").to_string();
        let request = request_to(Method::POST, &authority, "/", &[], Bytes::from("late"));
        let sent = client.send(request.expect("a request"), Duration::from_millis(100));
        let (response, accepted) = tokio::join!(sent, listener.accept());
        response.expect_err("the server sends no response");
        let (mut stream, _) = accepted.expect("a connection");
        let mut received = Vec::new();
        let ended = stream.read_to_end(&mut received).await;
        let was_reset = ended.is_err_and(|error| error.kind() == ErrorKind::ConnectionReset);
        assert_eq!(was_reset, reset, "whether the connection was reset");
    });
}

named_cases! { check_abandoned_request:
    client_with_reset_on_close_resets_abandoned_connection(&HttpClient::with_reset_on_close(1, 100), true);
    default_client_closes_abandoned_connection_gracefully(&HttpClient::new(1, 100), false);
}

/// A request to this address is built, or refused before anything is sent.
fn check_authority(authority: &str, accepted: bool) {
    let request = request_to(Method::GET, authority, "/", &[], Bytes::new());
    assert_eq!(request.is_ok(), accepted, "{request:?}");
}

named_cases! { check_authority:
    host_and_port_are_accepted("127.0.0.1:8080", true);
    host_name_and_port_are_accepted("worker.example:65535", true);
    ipv6_address_and_port_are_accepted("[::1]:8080", true);
    port_beyond_range_is_not_replaced_by_default("127.0.0.1:70000", false);
    missing_port_means_default("127.0.0.1", true);
    empty_port_is_refused("127.0.0.1:", false);
    port_zero_is_refused("127.0.0.1:0", false);
    user_in_authority_is_refused("user@127.0.0.1:80", false);
    empty_authority_is_refused("", false);
}

/// The client reaches a server at an IPv6 address.
fn check_ipv6_server(host: &str) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let listener = TcpListener::bind((host, 0)).await.expect("a port");
        let authority = listener.local_addr().expect("an address").to_string();
        let request = request_to(Method::GET, &authority, "/", &[], Bytes::new());
        let client = HttpClient::new(1, 100);
        let sent = client.send(request.expect("a request"), Duration::from_millis(500));
        let accepted = tokio::time::timeout(Duration::from_millis(500), listener.accept());
        let (_response, accepted) = tokio::join!(sent, accepted);
        assert!(accepted.is_ok(), "the client connects to {authority}");
    });
}

named_cases! { check_ipv6_server:
    ipv6_server_is_reached("::1");
}
