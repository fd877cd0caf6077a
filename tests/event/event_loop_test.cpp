// event_loop_test.cpp: order of tasks, timers that end with their owners, and tasks dropped with
// the loop.
#include "event/event_loop.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <thread>
#include <utility>

#include "event/timer.hpp"

namespace merlingauge::event {
namespace {

using std::chrono::milliseconds;

TEST(EventLoop, TimersRunInTheOrderTheyAreDue) {
  EventLoop loop;
  std::string order;
  loop.after(milliseconds(20), [&] {
    order += "c";
    loop.stop();
  });
  loop.after(milliseconds(5), [&] { order += "a"; });
  loop.after(milliseconds(5), [&] { order += "b"; });
  loop.run();
  EXPECT_EQ(order, "abc");
}

TEST(EventLoop, CancelledTimerDoesNotRun) {
  EventLoop loop;
  bool ran = false;
  const auto id = loop.after(milliseconds(5), [&] { ran = true; });
  loop.cancel(id);
  loop.after(milliseconds(20), [&] { loop.stop(); });
  loop.run();
  EXPECT_FALSE(ran);
}

TEST(EventLoop, DeferredTaskRunsAfterTheCallbackThatDefersIt) {
  EventLoop loop;
  std::string order;
  loop.after(milliseconds(1), [&] {
    loop.defer([&] { order += "deferred"; });
    order += "callback ";
    loop.stop();
  });
  loop.run();
  EXPECT_EQ(order, "callback deferred");
}

TEST(EventLoop, PostedTaskOfAnotherThreadEndsTheWait) {
  EventLoop loop;
  const TimePoint start = EventLoop::readClock();
  std::thread other([&] { loop.post([&] { loop.stop(); }); });
  loop.run();
  other.join();
  // Without the wake-up the loop waits a second.
  EXPECT_LT(EventLoop::readClock() - start, milliseconds(900));
}

TEST(EventLoop, DropsWaitingTasksThatCancelAndDeferAsTheyEnd) {
  auto loop = std::make_unique<EventLoop>();
  const auto id = loop->after(milliseconds(50), [] {});
  bool released = false;
  // Like a connection that closes with the last reference to it.
  std::shared_ptr<void> connection(nullptr, [&, raw = loop.get()](void*) {
    raw->cancel(id);
    raw->defer([] {});
    released = true;
  });
  loop->after(milliseconds(10), [held = std::move(connection)] {});
  EXPECT_FALSE(released);
  loop.reset();
  EXPECT_TRUE(released);
}

TEST(Timer, EndsWithItsOwner) {
  EventLoop loop;
  bool ran = false;
  {
    Timer timer(loop);
    timer.start(milliseconds(1), [&] { ran = true; });
  }
  loop.after(milliseconds(10), [&] { loop.stop(); });
  loop.run();
  EXPECT_FALSE(ran);
}

TEST(Timer, StartReplacesTheTaskThatWaits) {
  EventLoop loop;
  std::string order;
  Timer timer(loop);
  timer.start(milliseconds(1), [&] { order += "first"; });
  timer.start(milliseconds(2), [&] { order += "second"; });
  loop.after(milliseconds(10), [&] { loop.stop(); });
  loop.run();
  EXPECT_EQ(order, "second");
}

}  // namespace
}  // namespace merlingauge::event
