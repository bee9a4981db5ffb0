//! Sections and lines of a settings file, each with its line number.

use super::Problem;

/// One `key = value` line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Line<'a> {
    /// Its number, from 1.
    pub number: u32,
    /// The text before the first `=`.
    pub key: &'a str,
    /// The text after it.
    pub value: &'a str,
}

/// A section header and the lines under it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Section<'a> {
    /// The number of the header, from 1.
    pub number: u32,
    /// The text between the brackets.
    pub name: &'a str,
    /// The lines under it.
    pub lines: Vec<Line<'a>>,
}

/// Splits `text` into sections; what cannot be read is added to `problems`.
pub(super) fn split<'a>(text: &'a str, problems: &mut Vec<Problem>) -> Vec<Section<'a>> {
    let text = text.strip_prefix('\u{feff}').unwrap_or(text);
    let mut sections: Vec<Section<'a>> = Vec::new();
    // Lines under a broken header belong to no known section: one problem for the header is enough.
    let mut is_header_broken = false;
    let mut parser = ini_core::Parser::new(text).auto_trim(true);
    loop {
        let number = parser.line() + 1;
        let Some(item) = parser.next() else { return sections };
        let section = sections.last().map_or("", |section| section.name);
        let mut problem = |key: &str, what: &str| {
            problems.push(Problem {
                line: number,
                section: section.to_owned(),
                key: key.to_owned(),
                what: what.to_owned(),
            });
        };
        if let ini_core::Item::Section(_) | ini_core::Item::Error(_) = item {
            is_header_broken = matches!(item, ini_core::Item::Error(_));
        }
        match item {
            ini_core::Item::Property(..) if is_header_broken => {}
            ini_core::Item::Section(name) if sections.iter().any(|s| s.name == name) => {
                problem("", &format!("the section [{name}] stands twice"));
                sections.push(Section { number, name, lines: Vec::new() });
            }
            ini_core::Item::Section(name) => {
                sections.push(Section { number, name, lines: Vec::new() });
            }
            ini_core::Item::Property(key, _) if key.starts_with(';') => {}
            ini_core::Item::Property(key, _) if key.starts_with('#') => {
                problem("", "a comment begins with ;");
            }
            ini_core::Item::Property(key, Some(value)) => match sections.last_mut() {
                Some(section) => section.lines.push(Line { number, key, value }),
                None => problem(key, "it stands before the first section"),
            },
            ini_core::Item::Property(key, None) => problem(key, "there is no = in this line"),
            ini_core::Item::Error(_) => problem("", "the section header has no ]"),
            ini_core::Item::SectionEnd | ini_core::Item::Comment(_) | ini_core::Item::Blank => {}
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lines_are_numbered_as_an_editor_does() {
        let mut problems = Vec::new();
        let sections = split("; head\r\n\r\n[a]\r\n x = 1 \n  ; note\n[b]\ny=2", &mut problems);
        assert_eq!(problems, []);
        assert_eq!((sections[0].number, sections[1].number), (3, 6));
        assert_eq!(sections[0].lines, [Line { number: 4, key: "x", value: "1" }]);
        assert_eq!(sections[1].lines, [Line { number: 7, key: "y", value: "2" }]);
    }
}
