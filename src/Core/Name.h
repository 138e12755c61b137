#ifndef QUETZALYOKE_CORE_NAME_H
#define QUETZALYOKE_CORE_NAME_H

#include <string>

namespace quetzalyoke {

/// Whether \a text can name a model, account, server, instance and so on: letters, digits, dot,
/// underscore and hyphen, first a letter or digit, at most 100 characters.
bool isValidName(const std::string &text);

/// What to do about a text that is no name.
std::string nameFormatHint();

} // namespace quetzalyoke

#endif
