//! Splits a line of a script into words.

use winnow::ascii::space0;
use winnow::combinator::{alt, delimited, opt, preceded, repeat, terminated};
use winnow::prelude::*;
use winnow::stream::LocatingSlice;
use winnow::token::take_while;

use super::ScriptError;

type Input<'a> = LocatingSlice<&'a str>;

/// A word, or the value of a `key=value` pair, with its column.
#[derive(Debug, Clone, Copy)]
pub(super) struct Word<'a> {
    pub(super) text: &'a str,
    pub(super) column: usize,
}

/// The words of one line, taken one by one.
///
/// [`Words::end`] reports what nothing took: a word that no statement knows is
/// a mistake of the author, and a scenario that ignored it would prove less
/// than it says.
#[derive(Debug)]
pub(super) struct Words<'a> {
    line: usize,
    end_column: usize,
    plain: std::collections::VecDeque<Word<'a>>,
    named: Vec<(Word<'a>, Word<'a>)>,
}

enum Token<'a> {
    Plain(Word<'a>),
    Named(Word<'a>, Word<'a>),
}

impl<'a> Words<'a> {
    /// Splits a line; `None` if it holds no statement.
    pub(super) fn split(
        line: usize,
        text: &'a str,
    ) -> Result<Option<Self>, ScriptError> {
        let tokens = tokens.parse(LocatingSlice::new(text)).map_err(|error| {
            ScriptError::new(line, error.offset() + 1, "this is not a word")
        })?;
        if tokens.is_empty() {
            return Ok(None);
        }
        let mut words = Self {
            line,
            end_column: text.len() + 1,
            plain: std::collections::VecDeque::new(),
            named: Vec::new(),
        };
        for token in tokens {
            match token {
                Token::Plain(word) => words.plain.push_back(word),
                Token::Named(key, value) => words.named.push((key, value)),
            }
        }
        Ok(Some(words))
    }

    /// An error at a word.
    pub(super) fn error(&self, word: Word<'_>, message: &str) -> ScriptError {
        let text = format!("{message}: `{}`", word.text);
        ScriptError::new(self.line, word.column, &text)
    }

    /// Takes the next plain word.
    pub(super) fn next(&mut self, what: &str) -> Result<Word<'a>, ScriptError> {
        self.plain.pop_front().ok_or_else(|| {
            let text = format!("{what} is missing");
            ScriptError::new(self.line, self.end_column, &text)
        })
    }

    /// Takes the next plain word if it is this one.
    pub(super) fn flag(&mut self, text: &str) -> bool {
        let found = self.plain.front().is_some_and(|word| word.text == text);
        if found {
            self.plain.pop_front();
        }
        found
    }

    /// Takes the value of a key.
    pub(super) fn named(&mut self, key: &str) -> Option<Word<'a>> {
        let at = self.named.iter().position(|(name, _)| name.text == key)?;
        Some(self.named.remove(at).1)
    }

    /// Takes the value of a key that must be there.
    pub(super) fn needed(&mut self, key: &str) -> Result<Word<'a>, ScriptError> {
        self.named(key).ok_or_else(|| {
            let text = format!("`{key}=` is missing");
            ScriptError::new(self.line, self.end_column, &text)
        })
    }

    /// Reports the first word that nothing took.
    pub(super) fn end(&self) -> Result<(), ScriptError> {
        if let Some(word) = self.plain.front() {
            return Err(self.error(*word, "unknown word"));
        }
        match self.named.first() {
            Some((key, _)) => Err(self.error(*key, "unknown key")),
            None => Ok(()),
        }
    }
}

fn tokens<'a>(input: &mut Input<'a>) -> ModalResult<Vec<Token<'a>>> {
    let words = repeat(0.., preceded(space0, token));
    terminated(words, (space0, opt(comment))).parse_next(input)
}

fn comment<'a>(input: &mut Input<'a>) -> ModalResult<&'a str> {
    preceded('#', take_while(0.., |_| true)).parse_next(input)
}

fn token<'a>(input: &mut Input<'a>) -> ModalResult<Token<'a>> {
    alt((named, plain.map(Token::Plain))).parse_next(input)
}

fn named<'a>(input: &mut Input<'a>) -> ModalResult<Token<'a>> {
    let (key, _, value) = (plain, '=', alt((quoted, plain))).parse_next(input)?;
    Ok(Token::Named(key, value))
}

fn plain<'a>(input: &mut Input<'a>) -> ModalResult<Word<'a>> {
    let (text, span) = take_while(1.., word_character)
        .with_span()
        .parse_next(input)?;
    Ok(Word {
        text,
        column: span.start + 1,
    })
}

fn quoted<'a>(input: &mut Input<'a>) -> ModalResult<Word<'a>> {
    let (text, span) = delimited('\'', take_while(0.., |c| c != '\''), '\'')
        .with_span()
        .parse_next(input)?;
    Ok(Word {
        text,
        column: span.start + 1,
    })
}

fn word_character(character: char) -> bool {
    character.is_ascii_alphanumeric() || "-_./,:@".contains(character)
}
