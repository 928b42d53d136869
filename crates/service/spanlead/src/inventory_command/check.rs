//! `spanlead inventory check`: what is wrong with files.
use super::args::SelectionArgs;
use super::error::InventoryCommandError;
use super::sources::Examined;
use spanlead_worker_attributes::DiagnosticEffect;

/// Prints what is wrong with files; fails if a line, an attribute or a file is refused.
pub(super) fn check(selection: &SelectionArgs, json: bool) -> Result<(), InventoryCommandError> {
    let mut refused = 0;
    for examined in selection.examine()? {
        let diagnostics = &examined.validated.diagnostics;
        let count =
            diagnostics.iter().filter(|diagnostic| diagnostic.effect != DiagnosticEffect::Warning).count();
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
    let Examined { inventory, validated, digest } = examined;
    let diagnostics = validated.diagnostics.iter().map(|diagnostic| {
        serde_json::json!({
            "file": validated.files.get(usize::from(diagnostic.location.file)),
            "line": diagnostic.location.line,
            "column": diagnostic.location.column,
            "key": diagnostic.key,
            "reason": diagnostic.reason,
            "done": diagnostic.effect,
        })
    });
    let diagnostics: Vec<_> = diagnostics.collect();
    let (hosts, lines) = (validated.hosts.len(), validated.entries);
    println!(
        "{}",
        serde_json::json!({
            "inventory": inventory.name,
            "digest": digest,
            "lines": lines,
            "hosts": hosts,
            "refusals": diagnostics,
        })
    );
}

fn print_text(examined: &Examined, refused: usize) {
    let Examined { inventory, validated, .. } = examined;
    for diagnostic in &validated.diagnostics {
        println!("{}", diagnostic.describe(&validated.files));
    }
    let warnings = validated.diagnostics.len() - refused;
    println!(
        "{}: {} lines, {} hosts, {refused} refusals, {warnings} warnings",
        inventory.file.display(),
        validated.entries,
        validated.hosts.len()
    );
}
