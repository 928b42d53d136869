//! `spanlead inventory check`: what is wrong with files.
use super::args::SelectionArgs;
use super::error::InventoryCommandError;
use super::sources::Examined;
use spanlead_worker_attributes::Done;

/// Prints what is wrong with files; fails if a line, an attribute or a file is refused.
pub(super) fn check(selection: &SelectionArgs, json: bool) -> Result<(), InventoryCommandError> {
    let mut refused = 0;
    for examined in selection.examine()? {
        let refusals = &examined.judged.refusals;
        let count = refusals.iter().filter(|refusal| refusal.done != Done::Nothing).count();
        refused += count;
        if json {
            print_json(&examined);
        } else {
            print_text(&examined, count);
        }
    }
    match refused {
        0 => Ok(()),
        1 => Err(InventoryCommandError::OneRefusal),
        count => Err(InventoryCommandError::Refusals(count)),
    }
}

fn print_json(examined: &Examined) {
    let Examined { inventory, judged, digest } = examined;
    let refusals = judged.refusals.iter().map(|refusal| {
        serde_json::json!({
            "file": judged.files.get(usize::from(refusal.at.file)),
            "line": refusal.at.line,
            "column": refusal.at.column,
            "key": refusal.key,
            "reason": refusal.reason,
            "done": refusal.done,
        })
    });
    let refusals: Vec<_> = refusals.collect();
    let (hosts, lines) = (judged.rows.len(), judged.entries);
    println!(
        "{}",
        serde_json::json!({
            "inventory": inventory.name,
            "digest": digest,
            "lines": lines,
            "hosts": hosts,
            "refusals": refusals,
        })
    );
}

fn print_text(examined: &Examined, refused: usize) {
    let Examined { inventory, judged, .. } = examined;
    for refusal in &judged.refusals {
        println!("{}", refusal.show(&judged.files));
    }
    let warnings = judged.refusals.len() - refused;
    println!(
        "{}: {} lines, {} hosts, {refused} refusals, {warnings} warnings",
        inventory.file.display(),
        judged.entries,
        judged.rows.len()
    );
}
