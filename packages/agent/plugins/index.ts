// Tasks start in this order; a task may use services of tasks before it.
import './worker-client.js';
import './drain.js';
import './slice.js';
import './holdings.js';
import './execution.js';
import './gang-reservations.js';
import './entries.js';
import './run-request.js';
import './find-request.js';
import './withdraw-request.js';
import './gang-reserve.js';
import './gang-commit.js';
import './gang-start.js';
import './gang-renew.js';
import './gang-stop.js';
import './gang-find.js';
import './operations.js';
