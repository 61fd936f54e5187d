//! The file with a balancer's identity in its fleet's ledger.

use fernroute_server::program::fleet::lock_identity;
use std::path::Path;

/// Guards against two processes that spend one grant each, and against a restart under an identity that is new to the ledger.
#[test]
fn identity_is_held_by_one_process_and_survives_restarts() {
    let path = std::env::temp_dir().join(format!("fernroute-{}.member", std::process::id()));
    let first = lock_identity(&path)
        .expect("access the test file")
        .expect("identity file not locked by another process");
    let identity = first.identity;
    assert!(lock_identity(&path).expect("access the test file").is_none());
    drop(first);
    let second = lock_identity(&path)
        .expect("access the test file")
        .expect("identity file not locked by another process");
    assert_eq!(second.identity, identity);
    std::fs::write(&path, "no number").expect("access the test file");
    drop(second);
    let third = lock_identity(&path)
        .expect("access the test file")
        .expect("identity file not locked by another process");
    assert_ne!(third.identity, identity);
    std::fs::remove_file(&path).expect("remove the test directory");
    assert!(lock_identity(Path::new("/nonexistent/place")).is_err());
}
