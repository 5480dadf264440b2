// Package quarantine finds what requests have in common that end each target which begins
// to run them, and keeps such requests from the targets.
//
// Load pattern: one part of prompts ends each replica group that begins to answer on it,
// with all its streams. Five requests a second with this part arrive at all nodes, no two
// alike, from a client account and with other parts that sound requests have too. Each of
// them ends one group, and its retry a second one. A group comes back after some seconds,
// so that soon none is left, although less than a tenth of the requests have the part. Or
// one request, which its caller repeats at any node, ends each replica of a plain service
// that runs it, with all requests there.
//
// The evidence is kept by trait: a part of prompts, or the whole request, by which its
// repetitions are recognised. What counts, for and against, with the test of each line:
//
//	a process is lost while it answers: a crash of all traits   TestMomentsOfLoss
//	the same later in the answer: half a crash, or a quarter    TestLateLossesCountLess
//	two targets that end at the same moment: one crash          TestLossesAtTheSameMomentCountOnce
//	three or more, a disturbance: half a crash at the beginning
//	of the answer, none later                                   TestDisturbanceCountsLess
//	a whole answer, sent after the crash: sound                 TestOnlyAWholeAnswerEndsTheSuspicion,
//	                                                            TestAnswerSentBeforeTheCrashProvesNothing
//	an answer that outlives the lost one by far: sound, also if TestLongAnswersOfASoundPartEndItsWait,
//	it is lost itself                                           TestLostAnswerOutlivesEarlierCrashes
//	the same process answers later: no crash                    TestLivingProcessClearsItsCrash,
//	                                                            TestNextProcessUnderAnIDClearsNothing
//	three crashes of a trait that was not sound lately: verdict TestPartThatEndsThreeTargetsIsQuarantined
//	of one that was sound lately: when others were answered     TestPartThatWasSoundIsQuarantined
//	or when the wait ends: probation                            TestWaitForAVerdictEnds
//	trials on probation end targets: verdict                    TestProbationEnds
//
// An engine begins one answer after the other, so that of all streams of a group that ends few
// are at the beginning of their answer. Later the loss says less, and more losses make a verdict:
// doubt grows with the distance from the cause, and only in a disturbance a loss counts for nothing.
// Other answers have no head before they are complete, so that each request that the target held
// may be at fault.
// Sound traits are answered all the time, the one at fault never is.
//
// A trait in quarantine is refused at once by all nodes. From some minutes after its last crash they
// take turns to try one request with it, so that a trait that was put there wrongly, or whose
// targets have been mended, is released while its requests go on arriving. A trait that may be
// sound is on probation, where the trials begin at once.
//
// Of the plainer rules, quarantine at the first crash takes in the sound traits of each request that
// was lost at that moment, and a quarantine of the first part or of the client account all requests
// that share it with the part at fault.
package quarantine
