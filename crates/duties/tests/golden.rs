//! What schedulers say to each other of duties, as bytes: those of the version before and of this one are in one tier at a
//! time.
#[allow(dead_code, reason = "each crate uses a part of it")]
#[path = "golden/data.rs"]
mod golden;

use spanlead_duties::{Item, LAST_TERM, Sets, Word, decode, encode};

const FILE: &str = "messages.txt";

fn item(word: Word) -> Item {
    Item { duty: 0xdead_beef, sets: Sets { count: 5, joint: 3 }, word }
}

fn messages() -> Vec<(&'static str, Vec<Item>)> {
    let (ask, term) = (77, 1_234_567);
    let all = vec![
        item(Word::Ask { ask, term }),
        item(Word::Grant { ask, term }),
        item(Word::Refuse { ask, highest: term + 1, left: 2_999 }),
        item(Word::Withdraw { term }),
        item(Word::Release { term }),
    ];
    let longest = Item {
        duty: u32::MAX,
        sets: Sets { count: u16::MAX, joint: u16::MAX },
        word: Word::Refuse { ask: u32::MAX, highest: LAST_TERM - 1, left: u64::MAX },
    };
    vec![
        ("none", vec![]),
        ("ask", vec![all[0]]),
        ("grant", vec![all[1]]),
        ("refuse", vec![all[2]]),
        ("withdraw", vec![all[3]]),
        ("release", vec![all[4]]),
        ("one-set", vec![Item { sets: Sets::of(3), ..all[0] }]),
        ("all", all),
        ("longest", vec![longest; 5]),
    ]
}

#[test]
fn each_kind_of_message_keeps_its_bytes() {
    let found: Vec<_> = messages().iter().map(|(name, items)| (*name, encode(items))).collect();
    golden::assert_bytes(FILE, &found);
}

#[test]
fn committed_messages_are_read_as_the_same_items() {
    let committed = golden::bytes(FILE);
    assert_eq!(committed.len(), messages().len());
    for ((name, bytes), (wanted_name, wanted)) in committed.iter().zip(messages()) {
        assert_eq!(name, wanted_name);
        assert_eq!(decode(bytes), Some(wanted), "{name}");
    }
}
