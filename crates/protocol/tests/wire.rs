//! Tests of the authentication of frames between instances.

use protocol::wire::{Error, Frame, Key, Request};

#[test]
fn frame_opens_only_with_its_own_key() {
    let key = Key::new(b"shared");
    let frame = Frame::seal(&key, &Request::Probe).unwrap();
    assert_eq!(frame.open::<Request>(&key), Ok(Request::Probe));
    assert_eq!(frame.open::<Request>(&Key::new(b"other")), Err(Error::Mac));
}

#[test]
fn frame_with_any_changed_byte_is_rejected() {
    let key = Key::new(b"shared");
    let frame = Frame::seal(&key, &Request::Dump { section: Some("entry".into()) }).unwrap();
    for index in 0..frame.body.len() {
        let mut body = frame.body.clone().into_bytes();
        body[index] = if body[index] == b'A' { b'B' } else { b'A' };
        let corrupt = Frame { body: String::from_utf8(body).unwrap(), mac: frame.mac.clone() };
        assert!(corrupt.open::<Request>(&key).is_err(), "byte {index}");
    }
}
