//! Tests of building chat messages from a program's history.

use protocol::backend::messages;
use serde_json::json;

#[test]
fn history_is_converted_to_chat_messages() {
    let history: Vec<Vec<u8>> = [
        br#"[{"role":"user","content":"rot?"}]"#.to_vec(),
        b"yes".to_vec(),
        br#"{"op":"order"}"#.to_vec(),
        b"ordered".to_vec(),
    ]
    .to_vec();
    let messages = messages(&history, br#"[{"role":"user","content":"thanks"}]"#);
    assert_eq!(
        messages,
        [
            json!({"role": "user", "content": "rot?"}),
            json!({"role": "assistant", "content": "yes"}),
            json!({"role": "assistant", "content": "{\"op\":\"order\"}"}),
            json!({"role": "tool", "content": "ordered"}),
            json!({"role": "user", "content": "thanks"}),
        ]
    );
}
