#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <regex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "base/ba_event.h"
#include "base/ba_result.h"

namespace
{

std::vector<std::string> read_lines(const std::string &path)
{
	std::ifstream in(path);
	std::vector<std::string> lines;
	std::string line;

	while (std::getline(in, line))
		lines.push_back(line);
	return lines;
}

TEST(SharedBaEvent, EveryLineOfEveryThreadIsWrittenWhole)
{
	std::string path = testing::TempDir() + "event_test.log";
	const std::regex line_format(
		"\\d{4}-\\d\\d-\\d\\dT\\d\\d:\\d\\d:\\d\\d\\.\\d{6}Z "
		"p/i 6003 retried thread=(\\d) line=(\\d+)");
	std::set<std::string> seen;
	std::vector<std::thread> threads;

	remove(path.c_str());
	ASSERT_EQ(ba_event_open("p/i", path.c_str(), BA_INFO), BA_OK);
	for (int t = 0; t < 4; t++)
		threads.emplace_back([t] {
			for (int i = 0; i < 500; i++)
				ba_event(CL_EV_RETRIED, "thread=%d line=%d", t,
					 i);
		});
	for (auto &t : threads)
		t.join();
	ba_event_close();
	for (const auto &line : read_lines(path)) {
		std::smatch m;

		ASSERT_TRUE(std::regex_match(line, m, line_format)) << line;
		seen.insert(m[1].str() + "/" + m[2].str());
	}
	EXPECT_EQ(seen.size(), 2000u);
}

TEST(BaEvent, OnlySevereEnoughEventsAreWritten)
{
	std::string path = testing::TempDir() + "event_level.log";

	remove(path.c_str());
	ASSERT_EQ(ba_event_open("p/i", path.c_str(), BA_WARNING), BA_OK);
	ba_event(CL_EV_ROUTED, "info");
	ba_event(EP_EV_JOINED, "info");
	ba_event(EP_EV_EXPIRED, "warning");
	ba_event(RP_EV_LOG_DAMAGED, "error");
	ba_event_close();
	EXPECT_EQ(read_lines(path).size(), 2u);
}

TEST(BaEvent, FileIsOpenedAgainAfterItWasMoved)
{
	std::string path = testing::TempDir() + "event_moved.log";
	std::string moved = path + ".1";

	remove(path.c_str());
	ASSERT_EQ(ba_event_open("p/i", path.c_str(), BA_INFO), BA_OK);
	ASSERT_EQ(rename(path.c_str(), moved.c_str()), 0);
	ba_event_reopen();
	ba_event(EP_EV_JOINED, "after");
	ba_event_close();
	EXPECT_EQ(read_lines(path).size(), 1u);
}

/*
 * The parent process reads standard output.  The log must be written there and
 * to no other descriptor, and a reopen must not close it.
 */
TEST(BaEvent, StandardOutputIsWrittenAndStaysOpen)
{
	std::string path = testing::TempDir() + "event_stdout.log";
	int saved_stdout = dup(STDOUT_FILENO);
	int file = open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
	int next_fd; /* number of the next descriptor that is opened */

	ASSERT_GE(dup2(file, STDOUT_FILENO), 0);
	close(file);
	next_fd = dup(STDOUT_FILENO);
	close(next_fd);
	ASSERT_EQ(ba_event_open("p/i", "-", BA_INFO), BA_OK);
	EXPECT_EQ(fcntl(next_fd, F_GETFD), -1) << "another descriptor is open";
	ba_event(EP_EV_JOINED, "before");
	ba_event_reopen();
	ba_event(EP_EV_JOINED, "after");
	ba_event_close();
	EXPECT_GE(fcntl(STDOUT_FILENO, F_GETFD), 0);
	dup2(saved_stdout, STDOUT_FILENO);
	close(saved_stdout);
	EXPECT_EQ(read_lines(path).size(), 2u);
}

TEST(BaEvent, UnwritableLogIsRefused)
{
	EXPECT_EQ(ba_event_open("p/i", "/nonexistent/folder/log", BA_INFO),
		  BA_FILE_UNREADABLE);
}

} // namespace
