#include "Core/Requests/Refusal.h"

namespace quetzalyoke {

const char *runStateText(RunState state)
{
    switch (state) {
    case RunState::NotRun:
        return "not-run";
    case RunState::Unknown:
        return "unknown";
    case RunState::Partial:
        return "partial";
    }
    return "unknown";
}

} // namespace quetzalyoke
