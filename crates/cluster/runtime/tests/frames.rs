//! The frame codec: frames are decoded unchanged, and malformed bytes never panic the decoder.
use quickcheck::quickcheck;
use spanlead_cluster_runtime::frame::{ClientOperation, ClientRequest, Directory, Frame};
use spanlead_cluster_runtime::frame_codec::{LENGTH_PREFIX_BYTES, decode, encode};
use spanlead_job_scheduler::JobSpec;

fn frames() -> Vec<Frame> {
    let spec = JobSpec::from_json(br#"{"spec":"x","stages":[{"count":2,"cpu":1}]}"#).expect("valid");
    let request = |operation| {
        Frame::ClientRequest(ClientRequest {
            request_id: 3,
            host: "h".into(),
            path: "/p/1".into(),
            operation,
        })
    };
    vec![
        Frame::Ping,
        request(ClientOperation::Query),
        request(ClientOperation::Submit(spec)),
        Frame::Directory(Directory { epoch: 4, primary: "a:1".into(), members: vec!["a:1".into()] }),
    ]
}

#[test]
fn encoded_frames_are_decoded_unchanged() {
    for frame in frames() {
        assert_eq!(decode(&encode(&frame)[LENGTH_PREFIX_BYTES..]).expect("complete"), frame);
    }
}

#[test]
fn truncated_frames_are_not_decoded_as_the_original() {
    for frame in frames() {
        let bytes = encode(&frame);
        for end in LENGTH_PREFIX_BYTES..bytes.len() {
            // The shorter bytes may happen to be a different frame, but never the original.
            assert!(
                !matches!(decode(&bytes[LENGTH_PREFIX_BYTES..end]), Ok(other) if other == frame),
                "truncated to {end} bytes"
            );
        }
    }
}

quickcheck! {
    fn changed_bytes_do_not_panic_the_decoder(which: usize, at: usize, byte: u8, noise: Vec<u8>) -> bool {
        let frames = frames();
        let mut bytes = encode(&frames[which % frames.len()])[LENGTH_PREFIX_BYTES..].to_vec();
        let at = at % bytes.len();
        bytes[at] = byte;
        let _ = decode(&bytes);
        let _ = decode(&noise);
        true
    }
}
