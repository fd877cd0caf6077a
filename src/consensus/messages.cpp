#include "consensus/messages.hpp"

namespace merlingauge::consensus {

ReceiverState receiverStateOf(const RegisterRequest& request) {
  ReceiverState receiver;
  switch (request.kind) {
    case RegisterRequest::Kind::prepare:
      receiver.textId = request.cachedTextId;
      receiver.historyId = request.cachedHistoryId;
      receiver.wantsLargeText = false;
      break;
    case RegisterRequest::Kind::rejoin:
      receiver.textId = request.cachedTextId;
      break;
    case RegisterRequest::Kind::fetch:
      receiver.wantsHistory = false;
      break;
    case RegisterRequest::Kind::accept:  // the reply does not repeat the value
      break;
  }
  return receiver;
}

}  // namespace merlingauge::consensus
