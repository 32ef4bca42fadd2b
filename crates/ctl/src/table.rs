//! Tables for people.

use serde_json::Value;

/// A column: its title and the path of its value in a row.
pub(crate) type Column = (&'static str, &'static str);

/// Renders rows as a table with one space-padded column each.
pub(crate) fn render(columns: &[Column], rows: &[Value]) -> String {
    let mut lines = vec![columns.iter().map(|(title, _)| (*title).to_owned()).collect::<Vec<_>>()];
    lines.extend(rows.iter().map(|row| columns.iter().map(|(_, path)| cell(row, path)).collect()));
    let widths: Vec<usize> = (0..columns.len())
        .map(|at| lines.iter().map(|line| line[at].chars().count()).max().unwrap_or(0))
        .collect();
    let mut text = String::new();
    for line in lines {
        let cells = line.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        text.push_str(cells.collect::<Vec<_>>().join("  ").trim_end());
        text.push('\n');
    }
    text
}

fn cell(row: &Value, path: &str) -> String {
    let value = path.split('.').fold(row, |value, key| &value[key]);
    match value {
        Value::Null => "-".into(),
        Value::String(text) => text.clone(),
        Value::Bool(flag) => if *flag { "yes" } else { "no" }.into(),
        Value::Array(items) => {
            let items: Vec<String> =
                items.iter().map(|item| item.to_string().replace('"', "")).collect();
            items.join(",")
        }
        other => other.to_string(),
    }
}

/// Turns a map of named objects into rows with a `name`.
pub(crate) fn named_rows(objects: &Value) -> Vec<Value> {
    let objects = objects.as_object().into_iter().flatten();
    objects
        .map(|(name, object)| {
            let mut row = object.clone();
            row["name"] = Value::String(name.clone());
            row
        })
        .collect()
}
