//! Frames between instances.

use protocol::wire::{Error, Frame, Key, Request};

#[test]
fn a_frame_opens_with_its_key_only() {
    let key = Key::new(b"shared");
    let frame = Frame::seal(&key, &Request::Probe).unwrap();
    assert_eq!(frame.open::<Request>(&key), Ok(Request::Probe));
    assert_eq!(frame.open::<Request>(&Key::new(b"other")), Err(Error::Mac));
}

#[test]
fn a_changed_frame_does_not_open() {
    let key = Key::new(b"shared");
    let frame = Frame::seal(&key, &Request::Dump { section: Some("entry".into()) }).unwrap();
    for at in 0..frame.body.len() {
        let mut body = frame.body.clone().into_bytes();
        body[at] = if body[at] == b'A' { b'B' } else { b'A' };
        let changed = Frame { body: String::from_utf8(body).unwrap(), mac: frame.mac.clone() };
        assert!(changed.open::<Request>(&key).is_err(), "byte {at}");
    }
}
