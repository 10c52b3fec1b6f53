// How long an instance may wait at each step by which a change of the operators' records reaches it.
//
// A site states within which time an accepted change is in force everywhere. The steps, one after the other, each with what
// may go wrong there:
//   1. The first follower's watch tells it nothing, or stands on a connection that went silent: it ends after
//      `watchWait` and backing::watchSlack, and the next one tells it.
//   2. An instance that hears of the change asks one that has stood still since it told: that read ends after `answerWait`,
//      and after HeardRevisionsSettings::firstPause another instance is asked.
//   3. What is left is for reading and taking in the records themselves.
// The daemon's watches and reads take their times from here.
#pragma once

#include <chrono>

namespace whinyard::peer {

struct RecordPaces {
    // Of the watch of whoever hears changes from no other instance: the first follower, as a rule. A change that no watch
    // told waited for the end of watches of 10 s; now it waits 0.5 s with a time of 2 s, for 2 calls a second.
    std::chrono::milliseconds watchWait { 500 };
    std::chrono::milliseconds answerWait { 500 }; // For the begin of another instance's answer, which takes milliseconds.

    // Returns the longest time that the first two steps may take together.
    std::chrono::milliseconds worstWait() const;
};

RecordPaces recordPacesFor(std::chrono::milliseconds inForce);

}
