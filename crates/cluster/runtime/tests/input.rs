//! Bad input from peers and files: refused with its place, never a panic.
use quickcheck::quickcheck;
use spanlead_cluster_runtime::frame::{ClientOperation, ClientRequest, Directory, Frame};
use spanlead_cluster_runtime::frame_codec::{LENGTH_BYTES, decode, encode};
use spanlead_cluster_runtime::settings::{Settings, SettingsError};
use spanlead_job_scheduler::JobSpec;

fn frames() -> Vec<Frame> {
    let spec = JobSpec::from_json(br#"{"spec":"x","stages":[{"count":2,"cpu":1}]}"#).expect("good");
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
fn frames_come_back_as_they_went() {
    for frame in frames() {
        assert_eq!(decode(&encode(&frame)[LENGTH_BYTES..]).expect("whole"), frame);
    }
}

#[test]
fn frames_that_are_cut_short_are_refused() {
    for frame in frames() {
        let bytes = encode(&frame);
        for end in LENGTH_BYTES..bytes.len() {
            // A shorter one may happen to be another frame, but never this one.
            assert!(
                !matches!(decode(&bytes[LENGTH_BYTES..end]), Ok(other) if other == frame),
                "cut at {end}"
            );
        }
    }
}

quickcheck! {
    fn hostile_frames_do_no_harm(which: usize, at: usize, byte: u8, noise: Vec<u8>) -> bool {
        let frames = frames();
        let mut bytes = encode(&frames[which % frames.len()])[LENGTH_BYTES..].to_vec();
        let at = at % bytes.len();
        bytes[at] = byte;
        let _ = decode(&bytes);
        let _ = decode(&noise);
        true
    }
}

fn read(text: &str) -> Result<Settings, SettingsError> {
    let file = tempfile::NamedTempFile::new().expect("a file");
    std::fs::write(file.path(), text).expect("written");
    Settings::read(&file.path().to_string_lossy())
}

const GOOD: &str = r#"{"node":"core-1","ip":"127.0.0.1","listenAddrs":{"control":"127.0.0.1:9"},"portRange":[5,9],
 "seeds":["127.0.0.1:9","127.0.0.2:9"],"faultTolerance":{"machines":1},"later":{"field":[1]},
 "bounds":{"graceS":6,"far_x":1.5}}"#;

#[test]
fn settings_are_read_and_seeds_found_at_the_port_between_schedulers() {
    let settings = read(GOOD).expect("good");
    assert_eq!(settings.seed_peer_addresses(), ["127.0.0.1:5", "127.0.0.2:5"]);
    assert_eq!((settings.tolerated_losses(), settings.grace_ms()), (1, 6_000));
    assert!((settings.scheduler_config().remote_data_slowdown - 1.5).abs() < 1e-9);
}

#[test]
fn faulty_settings_are_refused_with_the_fault() {
    let told = |text: &str| read(text).expect_err("faulty").to_string();
    assert!(told(&GOOD.replace("[5,9]", "[9,5]")).contains("portRange"));
    assert!(told(&GOOD.replace("127.0.0.2:9", "nowhere")).contains("seeds"));
    assert!(told(&GOOD.replace("\"node\":\"core-1\",", "")).contains("missing"));
    assert!(matches!(read("{"), Err(SettingsError::Malformed(_))));
}
