//! Bad settings are all named at once, and nothing secret is shown.

use {dotterelshore_testkit::named_cases, std::process::Command};

const SOUND: [&str; 6] = [
    "--name",
    "e0",
    "--data-centre",
    "east",
    "--operator-token",
    "a-long-token",
];

fn refuses(more: &[&str], expected: &[&str]) {
    let output = Command::new(env!("CARGO_BIN_EXE_dotterelshore-entry"))
        .args(SOUND)
        .args(more)
        .output()
        .expect("it runs");
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success(), "it started: {text}");
    for part in expected {
        assert!(text.contains(part), "'{part}' is not in: {text}");
    }
    assert!(!text.contains("a-long-token"), "a secret is shown: {text}");
}

named_cases! { refuses:
    a_platform_without_a_port(&["--platform", "somewhere"], &["--platform"]);
    one_address_for_two_purposes(&["--listen", "127.0.0.1:1", "--peer-listen", "127.0.0.1:1"], &["--peer-listen"]);
    slots_of_nought(&["--executor-slots", "0"], &["--executor-slots"]);
    a_retry_ratio_above_one(&["--retry-ratio", "2"], &["--retry-ratio"]);
    a_peer_named_twice(&["--peer", "x=127.0.0.1:5", "--peer", "x=127.0.0.1:6"], &["'x' is named twice"]);
    a_peer_without_an_address(&["--peer", "x"], &["NAME=IP:PORT"]);
    several_faults_at_once(
        &["--executor-slots", "0", "--task-lease-ms", "0", "--platform", "x"],
        &["--executor-slots", "--task-lease-ms", "--platform"],
    );
}
