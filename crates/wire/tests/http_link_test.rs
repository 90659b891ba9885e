//! What becomes of a request that was given up.

use {
    bytes::Bytes,
    dotterelshore_testkit::named_cases,
    dotterelshore_wire::http_link::{HttpLink, request_to},
    hyper::Method,
    std::{io::ErrorKind, time::Duration},
    tokio::{io::AsyncReadExt, net::TcpListener},
};

/// How a server sees a connection end whose request was given up.
fn given_up(link: &HttpLink, reset: bool) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let authority = listener.local_addr().expect("an address").to_string();
        let request = request_to(Method::POST, &authority, "/", &[], Bytes::from("late"));
        let sent = link.send(request.expect("a request"), Duration::from_millis(100));
        let (answer, accepted) = tokio::join!(sent, listener.accept());
        answer.expect_err("nobody answers");
        let (mut stream, _) = accepted.expect("a connection");
        let mut seen = Vec::new();
        let ended = stream.read_to_end(&mut seen).await;
        let was_reset = ended.is_err_and(|error| error.kind() == ErrorKind::ConnectionReset);
        assert_eq!(was_reset, reset, "the connection's end");
    });
}

named_cases! { given_up:
    a_resetting_link_discards_what_was_not_received(&HttpLink::with_reset_on_close(1, 100), true);
    another_link_closes_in_order(&HttpLink::new(1, 100), false);
}
