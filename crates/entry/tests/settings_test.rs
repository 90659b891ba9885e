//! An entry reports all invalid settings at once, and never prints the operator token.

use {dotterelshore_testkit::named_cases, std::process::Command};

const VALID_ARGS: [&str; 6] = [
    "--name",
    "e0",
    "--data-centre",
    "east",
    "--operator-token",
    "a-long-token",
];

fn assert_refused(extra_args: &[&str], expected_parts: &[&str]) {
    let output = Command::new(env!("CARGO_BIN_EXE_dotterelshore-entry"))
        .args(VALID_ARGS)
        .args(extra_args)
        .output()
        .expect("the entry program runs");
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success(), "the entry started: {stderr}");
    for part in expected_parts {
        assert!(stderr.contains(part), "'{part}' is not in: {stderr}");
    }
    assert!(
        !stderr.contains("a-long-token"),
        "the operator token is shown: {stderr}"
    );
}

named_cases! { assert_refused:
    platform_without_port_is_refused(&["--platform", "somewhere"], &["--platform"]);
    equal_listen_and_peer_addresses_are_refused(&["--listen", "127.0.0.1:1", "--peer-listen", "127.0.0.1:1"], &["--peer-listen"]);
    zero_executor_slots_are_refused(&["--executor-slots", "0"], &["--executor-slots"]);
    retry_ratio_above_one_is_refused(&["--retry-ratio", "2"], &["--retry-ratio"]);
    duplicate_peer_name_is_refused(&["--peer", "x=127.0.0.1:5", "--peer", "x=127.0.0.1:6"], &["'x' is named twice"]);
    peer_without_address_is_refused(&["--peer", "x"], &["NAME=IP:PORT"]);
    all_invalid_settings_are_reported_together(
        &["--executor-slots", "0", "--task-lease-ms", "0", "--platform", "x"],
        &["--executor-slots", "--task-lease-ms", "--platform"],
    );
}
