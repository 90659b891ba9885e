//! Tests of how the HTTP client ends the connection of an abandoned request.

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
