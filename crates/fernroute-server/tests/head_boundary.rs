//! The ends of request heads, however the bytes are split.

use fernroute_server::transport::head_boundary::HeadBoundary;
use proptest::prelude::*;

/// Splits the bytes after each head.
fn heads(bytes: &[u8], part: usize) -> Vec<Vec<u8>> {
    let mut boundary = HeadBoundary::default();
    let (mut found, mut current) = (Vec::new(), Vec::new());
    for mut part in bytes.chunks(part) {
        while let Some(end) = boundary.find(part) {
            current.extend_from_slice(&part[..end]);
            found.push(std::mem::take(&mut current));
            part = &part[end..];
        }
        current.extend_from_slice(part);
    }
    found.push(current);
    found
}

proptest! {
    /// Guards against several heads that the library decodes at once, and against one that it never gets whole.
    #[test]
    fn each_head_is_found_however_it_is_split(fields in prop::collection::vec(0..5_usize, 1..5), part in 1..40_usize) {
        let all: Vec<String> = fields
            .iter()
            .map(|fields| format!("GET / HTTP/1.1\r\n{}\r\n", "a: b\r\n".repeat(*fields)))
            .collect();
        let found = heads((all.concat() + "GET /partial").as_bytes(), part);
        let expected: Vec<Vec<u8>> = all.iter().map(|head| head.clone().into_bytes()).collect();
        prop_assert_eq!(&found[..all.len()], &expected[..]);
        prop_assert_eq!(&found[all.len()..], &[b"GET /partial".to_vec()][..]);
    }
}

/// Empty lines before a head belong to it, and a line feed alone ends a line, as the library has it.
#[test]
fn forms_that_the_library_accepts_are_found() {
    for head in [
        "\r\n\r\nGET / HTTP/1.1\r\n\r\n",
        "GET / HTTP/1.1\n\n",
        "GET / HTTP/1.1\na: b\n\r\n",
        "\nGET /\r\n\n",
    ] {
        assert_eq!(heads(head.as_bytes(), 3), [head.as_bytes().to_vec(), Vec::new()], "{head:?}");
    }
}
