#include "consensus/acceptor_state.hpp"

namespace merlingauge::consensus {

AcceptorState fenced(AcceptorState state, std::uint64_t randomBits) {
  state.incarnation = nextIncarnation(state.incarnation, randomBits);
  state.recovered = false;
  state.valueRecovered = true;
  return state;
}

}  // namespace merlingauge::consensus
